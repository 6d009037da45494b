#ifndef LYCHEE_STEERING_SERVICESTEERING_H
#define LYCHEE_STEERING_SERVICESTEERING_H

#include "base/Random.h"
#include "placement/RegionChooser.h"
#include "retrying/CrashSuspects.h"
#include "shifting/ColdCost.h"
#include "shifting/ShiftSet.h"
#include "steering/RegionPool.h"
#include "steering/Steering.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lychee::steering {

/// Bounds of one service's retrying at one host.
struct ServiceLimits {
  /// Sends of one request, the first included: two failures in a row at
  /// different targets speak against the request or the region, and a fourth
  /// target would learn it the same way.
  std::uint32_t MaxSends_ = 3;
  retrying::RetryBudget::Limits Retries_;
  /// Of each region's line; ExpectedWork_ is the service's own.
  admission::AdmissionControl::Limits Admission_;
};

/// What one host's services have in common.
struct HostContext {
  base::HostId Host_;
  base::RegionId Region_;
  ServiceLimits Limits_;
  /// Shared by all services; thread-safe.
  retrying::CrashSuspects *Suspects_ = nullptr;
  /// Asks once more whether a customer's rate lets a request in; empty where
  /// no tokens come from peers.
  std::function<admission::RateCheck(const base::CustomerId &Customer,
                                     base::TimePoint Now)>
      RecheckRate_;
};

/// One service at one host: its targets by region, its running and waiting
/// requests, under one lock. Decides in this order: crash suspects, the
/// customer's rate, the region, room there, the target; after a failed send
/// whether it may be sent again. \see FleetSteering
class ServiceSteering {
public:
  /// \param Index  the low bits of its tickets.
  ServiceSteering(base::ServiceId Service, std::uint16_t Index,
                  const HostContext &Context, std::uint64_t Seed);
  ServiceSteering(const ServiceSteering &) = delete;
  ServiceSteering &operator=(const ServiceSteering &) = delete;

  const base::ServiceId &id() const noexcept { return Service_; }

  /// Takes over targets, customers and links. A target that left the intent
  /// gets no new work; what runs there ends.
  void applyIntent(const settings::Intent &Intent, base::TimePoint Now);

  /// Sets the other hosts that send to the same targets.
  void setPeers(std::span<const base::HostId> Peers);
  void heardRound(const HostLoadUpdate &Round, base::TimePoint Now);
  /// Adds what this host tells its peers.
  void addRound(HostLoadUpdate &Round, base::TimePoint Now) const;
  /// Sets the difference from the monotonic clock to the time of day.
  void setWallOffset(base::Duration Offset);

  // Slots, \see SlotTable.
  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  void settle(std::uint64_t Epoch);
  bool fits() const;
  void addAsks(std::vector<SlotRequest> &Asks, base::TimePoint Now);
  std::vector<SlotCount> giveSlots(const SlotRequest &Asked,
                                   base::TimePoint Now);
  void acceptSlots(const SlotGrant &Gift, base::TimePoint Now,
                   std::vector<Wakeup> &Woken);

  void reported(const base::TargetId &Target, std::uint32_t Load,
                base::TimePoint MeasuredAt);

  Decision arrive(const Request &Arrived, const admission::RateCheck &Rate,
                  base::TimePoint Now);
  Decision finish(std::uint64_t Ticket, const SendReport &Report,
                  base::TimePoint Now, std::vector<Wakeup> &Woken);
  void cancel(std::uint64_t Ticket, base::TimePoint Now);
  void tick(base::TimePoint Now, std::vector<Wakeup> &Woken);

private:
  /// A request between its arrival and its last decision.
  struct Pending {
    Request Request_;
    /// Until when it waits for tokens of its customer's rate.
    base::TimePoint RateUntil_;
    /// The region that it waits for, or was sent to.
    RegionPool *Pool_ = nullptr;
    admission::QueuePosition Place_;
    admission::CustomerIndex Customer_ = 0;
    /// What the line charged for it.
    base::Duration Charged_{};
    std::uint32_t Sends_ = 0;
    /// In Pool_; where it was sent at all.
    placement::TargetIndex SentTo_ = 0;
    bool Waits_ = false;
    /// A shift plan moved it to Pool_.
    bool Shifted_ = false;
    /// An earlier send may have run.
    bool MayHaveRun_ = false;
  };

  /// A target found, in a pool.
  struct Found {
    RegionPool *Pool_ = nullptr;
    placement::TargetChoice Choice_;
  };

  // The way of a request, in ServiceSteering.cpp.
  Decision enter(std::uint64_t Ticket, Pending &Wanted,
                 const admission::RateCheck &Rate, base::TimePoint Now);
  Decision enterElsewhere(std::uint64_t Ticket, Pending &Wanted,
                          const Found &Where, base::TimePoint Now,
                          std::string_view Why);
  bool payForResend(const Pending &Wanted, const Found &Near,
                    base::TimePoint Now);
  Decision send(std::uint64_t Ticket, Pending &Wanted, const Found &Where,
                std::string_view Why);
  bool mayWaitForRate(const Request &Arrived) const;
  Decision holdForRate(std::uint64_t Ticket, Pending &Wanted,
                       base::TimePoint Now);
  void letRateWaitingGo(base::TimePoint Now, std::vector<Wakeup> &Woken);
  Decision hold(std::uint64_t Ticket, Pending &Wanted) const;
  Decision refuse(Refusal Reason, Ran MayHaveRun,
                  std::string_view Why = {}) const;
  Decision refuse(const Pending &Wanted,
                  const admission::AdmissionDecision &Verdict) const;
  Decision afterFailure(std::uint64_t Ticket, Pending &Failed,
                        const SendReport &Report, base::TimePoint Now);
  void release(Pending &Ended, const SendReport &Report, base::TimePoint Now);
  void letWaitingGo(base::TimePoint Now, std::vector<Wakeup> &Woken);
  void giveUp(std::span<const admission::DroppedRequest> Left,
              std::vector<Wakeup> &Woken);

  // Where it goes, in ServicePlacement.cpp.
  RegionPool *homeOf(const Pending &Wanted, base::TimePoint Now);
  placement::TargetChoice choose(RegionPool &Pool, const Pending &Wanted,
                                 base::TimePoint Now);
  std::optional<Found> elsewhere(const Pending &Wanted, RegionPool &Home,
                                 base::Duration Wait, base::TimePoint Now,
                                 std::string_view &Why);
  RegionPool *shiftedHome(Pending &Wanted, RegionPool &Home,
                          base::TimePoint Now);
  bool takeHeadroom(const base::RegionId &Region, base::TimePoint Now);
  shifting::RegionsView viewOf(const base::RegionId &Receiver,
                               const base::RegionId &Sender,
                               base::TimePoint Now);
  void setPlans(const settings::Intent &Intent, base::TimePoint Now);
  void stepShifts(base::TimePoint Now);
  void spillWaiting(base::TimePoint Now, std::vector<Wakeup> &Woken);
  void spillFrom(RegionPool &Home, RegionPool &Other, base::TimePoint Now,
                 std::vector<Wakeup> &Woken);
  bool hasHeadroom(const RegionPool &Pool, base::TimePoint Now) const noexcept;
  base::Duration roundTrip(const base::RegionId &From,
                           const base::RegionId &To) const;
  RegionPool *poolOf(const base::RegionId &Region) const;

  const base::ServiceId Service_;
  const std::uint16_t Index_;
  const HostContext Context_;
  mutable std::mutex Lock_;
  base::Random Random_;
  std::uint64_t Version_ = 0;
  std::uint64_t LastSerial_ = 0;
  retrying::RetryBudget Retries_;
  std::map<base::RegionId, std::unique_ptr<RegionPool>> Pools_;
  std::map<std::pair<base::RegionId, base::RegionId>, base::Duration>
      RoundTrips_;
  std::unordered_map<std::uint64_t, Pending> Pending_;
  /// Tickets that wait for tokens, the oldest first.
  std::deque<std::uint64_t> RateWaiting_;
  std::vector<base::HostId> Peers_;
  std::uint64_t Epoch_ = 0;
  std::vector<Member> Members_;
  bool Settled_ = false;
  base::TimePoint LastUpkeep_;
  shifting::ShiftSet Shifts_;
  /// Plans as operators' actions left them.
  std::map<base::PlanId, shifting::ShiftPlan> Plans_;
  std::map<base::RegionId, shifting::ColdCost> ColdCosts_;
  base::Duration WallOffset_{};
  base::TimePoint LastShiftStep_;
};

} // namespace lychee::steering

#endif
