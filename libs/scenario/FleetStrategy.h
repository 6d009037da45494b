#ifndef LYCHEE_SCENARIO_FLEETSTRATEGY_H
#define LYCHEE_SCENARIO_FLEETSTRATEGY_H

#include "scenario/Strategy.h"
#include "steering/FleetSteering.h"

namespace lychee::scenario {

/// The project's own steering, one FleetSteering a host.
class FleetStrategy final : public Strategy {
public:
  FleetStrategy() = default;

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
  /// How often hosts tell each other what they have in flight.
  static constexpr base::Duration RoundInterval = std::chrono::milliseconds(50);

  void begin(std::size_t Host);
  void setPeers();
  void tellPeers(std::size_t From, base::TimePoint Now);

  PeerNetwork Peers_;
  std::uint64_t Seed_ = 0;
  base::TimePoint LastRound_;
  std::vector<std::unique_ptr<steering::FleetSteering>> Hosts_;
};

} // namespace lychee::scenario

#endif
