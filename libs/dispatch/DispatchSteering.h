#ifndef LYCHEE_DISPATCH_DISPATCHSTEERING_H
#define LYCHEE_DISPATCH_DISPATCHSTEERING_H

#include "base/Random.h"
#include "dispatch/CustomerRateLimiter.h"
#include "dispatch/DemandMeter.h"
#include "dispatch/RegionSplit.h"
#include "dispatch/SendBudget.h"
#include "dispatch/TargetChooser.h"
#include "live/Intent.h"
#include "live/TargetRegistry.h"
#include "retrying/CrashSuspects.h"
#include "steering/Steering.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>

namespace lychee::dispatch {

/// What a dispatch is made from.
struct DispatchSettings {
  base::RegionId Region_;
  base::ZoneId Zone_;
  live::DeploymentBounds Bounds_;
  std::uint64_t Seed_ = 0;
};

/// What a dispatch asks of the rest of the host. Called under its lock.
struct DispatchCallbacks {
  /// \returns whether this host is the one for a matter, of all that are
  /// alive. \see members::HostTable::isElectedFor
  std::function<bool(std::uint64_t Matter)> PickedFor_;
  /// Asks the host at \p Holder for a token; handleTokenResponse() is called
  /// with its answer. \see CustomerRateLimiter
  std::function<void(const std::string &Holder, std::uint64_t Ticket,
                     const base::CustomerId &Customer)>
      AskToken_ = [](const auto &, auto, const auto &) {};
};

/// A request's way through the decisions where targets register themselves:
/// customer's rate, crash suspects, target, and after a failed send whether it
/// is sent again. Nothing waits here but, for some milliseconds, for the word
/// of the host that keeps the customer's tokens: targets queue a few requests,
/// and what no target can do in time is refused at once.
///
/// Thread-safe: one lock, held for microseconds. DispatchUpkeep.cpp holds what
/// is told between requests, DispatchTokens.cpp how a request waits for a
/// token, DispatchLearning.cpp what the end of a send teaches.
/// \see steering::FleetSteering, which steers by the operators' own tree
class DispatchSteering final : public steering::Steering {
public:
  /// Within a region a datagram and its answer take 1 to 2 ms, where neither
  /// host waits for its processor; then the next host in line is asked.
  static constexpr base::Duration TokenPatience = std::chrono::milliseconds(60);

  DispatchSteering(const DispatchSettings &Settings, DispatchCallbacks Parts,
                   base::TimePoint Now);

  // What is in force.
  void setIntent(std::shared_ptr<const live::Intent> Fresh,
                 base::TimePoint Now);
  /// \param Regions  the region of each zone.
  void setTargets(std::span<const live::KnownTarget> All,
                  const std::map<base::ZoneId, base::RegionId> &Regions,
                  base::TimePoint Now);
  /// Zones whose targets get nothing.
  void setEvacuated(const std::set<base::ZoneId> &Zones, base::TimePoint Now);
  /// Divides what all hosts share anew. To be called every 250 ms.
  void updateFleetDemand(const FleetDemand &Fleet, base::TimePoint Now);

  // What is told to other hosts.
  std::vector<members::CustomerDemand> customerDemands(base::TimePoint Now);
  std::vector<members::ServiceDemand> serviceDemands(base::TimePoint Now);
  /// What was learned of how long rules' requests run.
  std::vector<members::RuleExecutionTimes> executionTimes() const;
  void mergeExecutionTimes(std::span<const members::RuleExecutionTimes> Told);
  std::vector<retrying::CrashEvidence>
  crashEvidence(base::TimePoint Now) const {
    return Suspects_.evidence(Now);
  }
  void mergeCrashEvidence(std::span<const retrying::CrashEvidence> Told,
                          base::TimePoint Now) {
    Suspects_.merge(Told, Now);
  }

  // Tokens of customers' rates.
  /// \returns when a token is there for another host; nothing: it took one.
  std::optional<base::Duration> grantToken(const base::CustomerId &Customer,
                                           base::TimePoint Now);
  /// The answer on a request that waits. \p Woken gains its decision.
  void handleTokenResponse(std::uint64_t Ticket,
                           std::optional<base::Duration> Wait,
                           base::TimePoint Now,
                           std::vector<steering::Wakeup> &Woken);

  // steering::Steering
  steering::Decision arrive(const steering::Request &Arrived,
                            base::TimePoint Now) override;
  steering::Decision finish(std::uint64_t Ticket,
                            const steering::SendReport &Report,
                            base::TimePoint Now,
                            std::vector<steering::Wakeup> &Woken) override;
  bool mayAbandonSend(std::uint64_t Ticket, base::TimePoint Now) override;
  bool mayHedge(std::uint64_t Ticket, base::TimePoint Now) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<steering::Wakeup> &Woken) override;

private:
  /// Statuses from here on are failures of the target itself.
  static constexpr int FirstServerFailure = 500;

  /// A request from its arrival to its end.
  struct Flight {
    base::ServiceId Service_;
    std::string Rule_;
    std::uint64_t Object_ = 0;
    std::uint64_t Fingerprint_ = 0;
    std::uint64_t BodyBytes_ = 0;
    std::optional<std::vector<base::RegionId>> Homes_;
    base::TimePoint Deadline_;
    /// Until when an answer is worth most; the deadline where none is stated.
    base::TimePoint Objective_;
    /// The same as the rule states it; zero: it states none.
    base::Duration StatedObjective_{};
    bool Idempotent_ = false;
    std::uint32_t MaximumSends_ = 1;
    std::uint32_t Sends_ = 0;
    /// Sends that did not reach a target; bounded, though they cost nothing.
    std::uint32_t Misses_ = 0;
    std::vector<base::TargetId> Tried_;
    /// A token of the send budget was spent ahead, for the send that follows
    /// one that was given up.
    bool Reserved_ = false;
    bool MayHaveRun_ = false;
    /// Of the last send: the target handled the object lately, and how long it
    /// was to wait there.
    bool KnownWarm_ = false;
    base::Duration Waiting_{};
  };

  struct ServiceState {
    std::vector<TargetState> Targets_;
    SendBudget Budget_;
    RegionSplit Split_;
    RegionLoads Loads_;
    /// Slots that this host's callers keep busy, by the region that they are
    /// bound to; empty: by those that are free.
    std::map<base::RegionId, DemandMeter> Demands_;
    /// Part of the requests, lately, that would not be answered by their
    /// objective since they would wait.
    double Pressure_ = 0;
    double ColdRate_ = 0;
    base::Duration ColdTime_{};
  };

  /// A request that waits for a token.
  struct TokenWait {
    base::CustomerId Customer_;
    /// Who is asked next; empty: nobody.
    std::string Next_;
    base::TimePoint Until_;
    /// Two are asked, and the answer of one is missing.
    bool AsksBoth_ = false;
    /// One of them has no token until then.
    std::optional<base::Duration> Denied_;
  };

  /// A target that was lost with requests in flight, until it is known whether
  /// it is down.
  struct Loss {
    std::uint64_t Fingerprint_ = 0;
    base::TargetId Target_;
    base::TimePoint At_;
  };

  ServiceState &serviceAt(const base::ServiceId &Service);
  TargetState *find(ServiceState &Service, const base::TargetId &Target);
  WorkTimes &workOf(const Flight &Request);
  std::optional<Choice> choose(const Flight &Request, base::TimePoint Now);
  /// Decides on a request whose customer's rate allows it.
  steering::Decision admit(std::uint64_t Ticket, Flight &Request,
                           base::TimePoint Now);
  steering::Decision awaitToken(std::uint64_t Ticket, TokenWait Wanted,
                                const std::string &Holder, base::TimePoint Now);
  /// \param Wait  as CustomerRateLimiter said; nothing: there is a token.
  steering::Decision endTokenWait(std::uint64_t Ticket,
                                  std::optional<base::Duration> Wait,
                                  base::TimePoint Now);
  steering::Decision refuseOverRate(std::uint64_t Ticket, base::Duration Wait);
  steering::Decision send(std::uint64_t Ticket, Flight &Request,
                          base::TimePoint Now);
  steering::Decision refuse(steering::Refusal Why, base::Duration RetryAfter,
                            bool MayHaveRun) const;
  steering::Decision endFailed(std::uint64_t Ticket, bool ByTarget,
                               base::Duration RetryAfter);
  void learn(const Flight &Request, TargetState *Target,
             const steering::SendReport &Report, base::TimePoint Now);
  void learnTime(const Flight &Request, TargetState &Target,
                 const steering::SendReport &Report);
  base::Duration patienceFor(const Flight &Request, const Choice &Chosen);
  /// Counts how many requests would be late since they wait.
  void notePressure(const Flight &Request, const Choice &Chosen,
                    base::TimePoint Now);
  /// \returns by when a request must be answered, else it is refused at once.
  base::TimePoint latestFor(const Flight &Request, const Choice &Chosen);
  bool canEnd(const Flight &Request, const Choice &Chosen, base::TimePoint Now);
  bool mayResend(const Flight &Request, const steering::SendReport &Report);
  /// Adds what callers of each region ask of a service.
  void countDemands(const base::ServiceId &Id, ServiceState &Service,
                    const FleetDemand &Fleet, base::TimePoint Now,
                    std::map<base::RegionId, RegionLoad> &Into);
  void divideRegions(const FleetDemand &Fleet, base::TimePoint Now);
  void noteLoss(const Flight &Request, const base::TargetId &Target,
                base::TimePoint Now);
  void noteDown(const base::TargetId &Target, base::TimePoint Now);

  const DispatchSettings Settings_;
  const DispatchCallbacks Parts_;
  const TargetChooser Chooser_;
  mutable std::mutex Lock_;
  base::Random Random_;
  std::shared_ptr<const live::Intent> Intent_;
  std::map<base::ServiceId, ServiceState> Services_;
  std::set<base::ZoneId> Evacuated_;
  std::map<std::string, WorkTimes> Works_;
  std::unordered_map<std::uint64_t, Flight> Flights_;
  std::map<std::uint64_t, TokenWait> TokenWaits_;
  std::uint64_t LastTicket_ = 0;
  CustomerRateLimiter Rates_;
  std::size_t Hosts_ = 1;
  retrying::CrashSuspects Suspects_;
  std::vector<Loss> Losses_;
};

} // namespace lychee::dispatch

#endif
