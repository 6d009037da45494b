#ifndef LYCHEE_SCENARIO_BASELINESTEERING_H
#define LYCHEE_SCENARIO_BASELINESTEERING_H

#include "scenario/Strategy.h"
#include "steering/RateTable.h"

#include <map>
#include <unordered_map>

namespace lychee::scenario {

/// How a simple load balancer chooses, and how often it tries.
struct BaselineRules {
  enum class Choice { RoundRobin, LeastReportedLoad };

  Choice Choice_ = Choice::RoundRobin;
  /// Sends of one request, the first included; each failure is tried again
  /// that may be, without any budget.
  std::uint32_t Sends_ = 1;
};

/// A plain load balancer to compare with: targets of the nearest region that
/// has any, each request sent at once whatever runs there, each customer's
/// rate divided equally among hosts. \see BaselineStrategy
class BaselineSteering final : public steering::Steering {
public:
  explicit BaselineSteering(BaselineRules Rules) : Rules_(Rules) {}

  void applyIntent(std::shared_ptr<const settings::Intent> Intent,
                   double RateShare, base::TimePoint Now);
  void report(const LoadReport &Heard);

  steering::Decision arrive(const steering::Request &Arrived,
                            base::TimePoint Now) override;
  steering::Decision finish(std::uint64_t Ticket,
                            const steering::SendReport &Report,
                            base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<steering::Wakeup> &Woken) override;

private:
  struct Sent {
    steering::Request Request_;
    base::TargetId Target_;
    std::uint32_t Sends_ = 0;
    bool MayHaveRun_ = false;
  };

  const settings::Target *choose(const Sent &Wanted);
  std::vector<const settings::Target *>
  candidates(const Sent &Wanted, const base::RegionId &Region) const;
  steering::Decision send(std::uint64_t Ticket, Sent &Wanted);
  static steering::Decision refuse(steering::Refusal Reason, bool MayHaveRun);

  const BaselineRules Rules_;
  std::shared_ptr<const settings::Intent> Intent_;
  std::map<base::ZoneId, base::RegionId> Regions_;
  steering::RateTable Rates_;
  std::map<base::TargetId, std::uint32_t> Loads_;
  std::map<base::RegionId, std::uint64_t> Turns_;
  std::unordered_map<std::uint64_t, Sent> Sent_;
  std::uint64_t LastTicket_ = 0;
};

/// A fleet of BaselineSteering. Hosts tell each other nothing.
class BaselineStrategy final : public Strategy {
public:
  explicit BaselineStrategy(BaselineRules Rules) : Rules_(Rules) {}

  void start(PeerNetwork Peers, std::uint64_t Seed,
             base::TimePoint Now) override;
  steering::Steering &steering(std::size_t Host) override;
  void applyIntent(std::size_t Host,
                   std::shared_ptr<const settings::Intent> Intent,
                   base::TimePoint Now) override;
  void report(std::size_t Host, const LoadReport &Heard,
              base::TimePoint Now) override;
  void tick(base::TimePoint Now) override;
  void hostGone(std::size_t Host, base::TimePoint Now) override;
  void hostBack(std::size_t Host, base::TimePoint Now) override;

private:
  const BaselineRules Rules_;
  std::vector<std::unique_ptr<BaselineSteering>> Hosts_;
};

} // namespace lychee::scenario

#endif
