#ifndef LYCHEE_STEERING_SERVICESTEERING_H
#define LYCHEE_STEERING_SERVICESTEERING_H

#include "base/Random.h"
#include "placement/RegionChooser.h"
#include "retrying/CrashSuspects.h"
#include "shifting/ColdCacheCost.h"
#include "shifting/ShiftSet.h"
#include "steering/RegionPool.h"
#include "steering/Steering.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lychee::steering {

/// Limits of one service at one host.
struct ServiceLimits {
  /// Maximum number of sends of one request, the first included: two failures
  /// in a row at different targets indicate a fault of the request or the
  /// region, and a fourth target would fail the same way.
  std::uint32_t MaxSends_ = 3;
  retrying::RetryBudget::Limits Retries_;
  /// Of each region's queue; ExpectedWork_ is set by the service.
  admission::AdmissionControl::Limits Admission_;
};

/// The context that all services of one host share.
struct HostContext {
  base::HostId Host_;
  base::RegionId Region_;
  ServiceLimits Limits_;
  /// Shared by all services; thread-safe.
  retrying::CrashSuspects *Suspects_ = nullptr;
  /// Checks again whether a customer's rate admits a request; empty where no
  /// tokens come from peers.
  std::function<admission::RateCheck(const base::CustomerId &Customer,
                                     base::TimePoint Now)>
      RecheckRate_;
};

/// One service at one host: its targets by region, and its running and waiting
/// requests, under one lock. Makes decisions in this order: crash suspects, the
/// customer's rate, the region, free slots there, the target; after a failed
/// send whether to retry. \see FleetSteering
class ServiceSteering {
public:
  /// \param Index  the low bits of this service's tickets.
  ServiceSteering(base::ServiceId Service, std::uint16_t Index,
                  const HostContext &Context, std::uint64_t Seed);
  ServiceSteering(const ServiceSteering &) = delete;
  ServiceSteering &operator=(const ServiceSteering &) = delete;

  const base::ServiceId &id() const noexcept { return Service_; }

  /// Applies targets, customers and links. A target that is no longer in the
  /// intent gets no new requests; its running requests end normally.
  void applyIntent(const settings::Intent &Intent, base::TimePoint Now);

  /// Sets the other hosts that send to the same targets.
  void setPeers(std::span<const base::HostId> Peers);
  void receiveLoadUpdate(const HostLoadUpdate &Update, base::TimePoint Now);
  /// Adds this service's part of the update for the peers.
  void addLoadUpdate(HostLoadUpdate &Update, base::TimePoint Now) const;
  /// Sets the offset from the monotonic clock to the wall clock.
  void setWallOffset(base::Duration Offset);

  // Slots, \see SlotTable.
  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  void settle(std::uint64_t Epoch);
  bool conformsToEpoch() const;
  void addSlotRequests(std::vector<SlotRequest> &Requests, base::TimePoint Now);
  std::vector<SlotCount> grantSlots(const SlotRequest &Request,
                                    base::TimePoint Now);
  void acceptSlots(const SlotGrant &Grant, base::TimePoint Now,
                   std::vector<Wakeup> &Wakeups);

  bool isResting(const base::TargetId &Target, base::TimePoint Now) const;
  void reportTargetLoad(const base::TargetId &Target, std::uint32_t Load,
                        base::TimePoint MeasuredAt);

  Decision arrive(const Request &NewRequest, const admission::RateCheck &Rate,
                  base::TimePoint Now);
  Decision finish(std::uint64_t Ticket, const SendReport &Report,
                  base::TimePoint Now, std::vector<Wakeup> &Wakeups);
  bool mayWrite(std::uint64_t Ticket, base::TimePoint Now);
  void recordAnswerHead(std::uint64_t Ticket, const AnswerHead &Head,
                        base::TimePoint Now);
  void cancel(std::uint64_t Ticket, base::TimePoint Now);
  void tick(base::TimePoint Now, std::vector<Wakeup> &Wakeups);

private:
  /// A request between its arrival and its last decision.
  struct PendingRequest {
    Request Request_;
    /// End of the wait for tokens of its customer's rate.
    base::TimePoint RateUntil_;
    /// The region that it waits for or was last sent to.
    RegionPool *Pool_ = nullptr;
    admission::QueuePosition QueuePosition_;
    admission::CustomerIndex Customer_ = 0;
    /// Work that admission control charged for it.
    base::Duration ChargedWork_{};
    std::uint32_t Sends_ = 0;
    /// Index in Pool_; valid once Sends_ is above zero.
    placement::TargetIndex SentTo_ = 0;
    bool IsWaiting_ = false;
    /// A shift plan moved it to Pool_.
    bool IsShifted_ = false;
    /// An earlier send may have been executed.
    bool MayHaveRun_ = false;
  };

  /// A pool and the choice of a target in it.
  struct PoolChoice {
    RegionPool *Pool_ = nullptr;
    placement::TargetChoice Choice_;
  };

  // Request lifecycle, in ServiceSteering.cpp.
  Decision admit(std::uint64_t Ticket, PendingRequest &Pending,
                 const admission::RateCheck &Rate, base::TimePoint Now);
  Decision admitElsewhere(std::uint64_t Ticket, PendingRequest &Pending,
                          const PoolChoice &Chosen, base::TimePoint Now,
                          std::string_view ReasonText);
  bool spendRetryBudget(const PendingRequest &Pending,
                        const PoolChoice &HomeChoice, base::TimePoint Now);
  Decision send(std::uint64_t Ticket, PendingRequest &Pending,
                const PoolChoice &Chosen, std::string_view ReasonText);
  bool mayWaitForRate(const Request &NewRequest) const;
  Decision waitForRate(std::uint64_t Ticket, PendingRequest &Pending,
                       base::TimePoint Now);
  void resumeRateWaiting(base::TimePoint Now, std::vector<Wakeup> &Wakeups);
  Decision makeWaitDecision(std::uint64_t Ticket,
                            PendingRequest &Pending) const;
  Decision refuse(Refusal Reason, Ran MayHaveRun,
                  std::string_view ReasonText = {}) const;
  /// Refuses a request for which no region has a usable target.
  Decision refuseUnplaced(const PendingRequest &Pending, base::TimePoint Now);
  Decision refuse(const PendingRequest &Pending,
                  const admission::AdmissionDecision &Verdict) const;
  Decision afterFailure(std::uint64_t Ticket, PendingRequest &Failed,
                        const SendReport &Report, base::TimePoint Now);
  void release(PendingRequest &Ended, const SendReport &Report,
               base::TimePoint Now);
  void resumeWaiting(base::TimePoint Now, std::vector<Wakeup> &Wakeups);
  void refuseExpired(std::span<const admission::DroppedRequest> Expired,
                     std::vector<Wakeup> &Wakeups);

  // Choice of region and target, in ServicePlacement.cpp and
  // ServiceShifting.cpp.
  RegionPool *homePool(const PendingRequest &Pending, base::TimePoint Now);
  placement::TargetChoice
  choose(RegionPool &Pool, const PendingRequest &Pending, base::TimePoint Now);
  std::optional<PoolChoice> chooseOtherRegion(const PendingRequest &Pending,
                                              RegionPool &Home,
                                              base::Duration Wait,
                                              base::TimePoint Now,
                                              std::string_view &ReasonText);
  RegionPool *applyShifts(PendingRequest &Pending, RegionPool &Home,
                          base::TimePoint Now);
  bool takeHeadroom(const base::RegionId &Region, base::TimePoint Now);
  shifting::RegionsView regionsView(const base::RegionId &Receiver,
                                    const base::RegionId &Sender,
                                    base::TimePoint Now);
  void setPlans(const settings::Intent &Intent, base::TimePoint Now);
  void stepShiftPlans(base::TimePoint Now);
  void spillWaiting(base::TimePoint Now, std::vector<Wakeup> &Wakeups);
  void spillFrom(RegionPool &Home, RegionPool &Other, base::TimePoint Now,
                 std::vector<Wakeup> &Wakeups);
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
  std::unordered_map<std::uint64_t, PendingRequest> Pending_;
  /// Tickets that wait for tokens, oldest first.
  std::deque<std::uint64_t> RateWaiting_;
  std::vector<base::HostId> Peers_;
  std::uint64_t Epoch_ = 0;
  std::vector<Member> Members_;
  bool Settled_ = false;
  base::TimePoint LastUpkeep_;
  shifting::ShiftSet ShiftPlans_;
  /// Plans with the state that operators' actions have given them.
  std::map<base::PlanId, shifting::ShiftPlan> PlanStates_;
  std::map<base::RegionId, shifting::ColdCacheCost> ColdCosts_;
  base::Duration WallOffset_{};
  base::TimePoint LastShiftStep_;
};

} // namespace lychee::steering

#endif
