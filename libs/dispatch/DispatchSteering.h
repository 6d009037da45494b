#ifndef LYCHEE_DISPATCH_DISPATCHSTEERING_H
#define LYCHEE_DISPATCH_DISPATCHSTEERING_H

#include "admission/ReturnSchedule.h"
#include "admission/ServiceAdmission.h"
#include "admission/UsualDeadline.h"
#include "base/Random.h"
#include "dispatch/CustomerRateLimiter.h"
#include "dispatch/DecayingRate.h"
#include "dispatch/ForwardingHosts.h"
#include "dispatch/RegionSplit.h"
#include "dispatch/SharedRateOwners.h"
#include "dispatch/SharedRetryBudget.h"
#include "dispatch/StatementTable.h"
#include "dispatch/TargetChooser.h"
#include "dispatch/TargetReach.h"
#include "live/Intent.h"
#include "live/TargetRegistry.h"
#include "members/TokenMessages.h"
#include "retrying/CrashSuspects.h"
#include "steering/Steering.h"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>

namespace lychee::dispatch {

/// Configuration of a DispatchSteering.
struct DispatchSettings {
  base::RegionId Region_;
  base::ZoneId Zone_;
  live::DeploymentBounds Bounds_;
  std::uint64_t Seed_ = 0;
};

/// A change of what a target is known to state.
struct TargetStatementChange {
  enum class Kind { Rate, Rest, Leaving };

  Kind Kind_ = Kind::Rate;
  base::TargetId Target_;
  /// Of a rate: requests per second; nothing: none is stated any more.
  std::optional<double> PerSecond_;
  /// Of a rest: its time from now on.
  base::Duration Rest_{};
  /// Another host told; otherwise an answer to this one.
  bool IsReported_ = false;
  /// Time since the target's answer.
  base::Duration Age_{};
};

/// This host lost its reach of the targets, or has it again.
struct ReachChange {
  bool IsReached_ = true;
  /// Time since the first connect that failed.
  base::Duration Since_{};
  /// The target whose probe decided it.
  base::TargetId Target_;
};

/// A service lacks capacity for this region's callers, or has it again.
struct CapacityChange {
  base::ServiceId Service_;
  /// The region that the requests are bound to; empty: any, or the own one.
  base::RegionId BoundTo_;
  bool IsFull_ = false;
  /// Fraction of the demand that is served.
  double Share_ = 1;
};

/// Functions of the host that a DispatchSteering calls, with its lock held.
struct DispatchCallbacks {
  /// Requests a token from the host at \p Owner; handleTokenResponse() is
  /// called with its response and the same \p Number. \see
  /// CustomerRateLimiter, StatedRateLimiter
  std::function<void(const std::string &Owner, std::uint64_t Number,
                     const members::TokenRequest &Wanted)>
      RequestToken_ = [](const auto &, auto, const auto &) {};
  /// Returns a customer's token to the host at \p Owner that granted it.
  std::function<void(const std::string &Owner, const base::CustomerId &)>
      RefundToken_ = [](const auto &, const auto &) {};
  std::function<void(const TargetStatementChange &Change)> OnStatement_ =
      [](const auto &) {};
  std::function<void(const ReachChange &Change)> OnReach_ = [](const auto &) {};
  std::function<void(const CapacityChange &Change)> OnCapacity_ =
      [](const auto &) {};
};

/// Steers requests where targets register themselves: checks the customer's
/// rate limit and the crash suspects, chooses the target and, after a failed
/// send, decides whether the request is sent again.
///
/// Requests are not queued here: targets queue a few, and what no target can
/// answer in time is refused at once. A request only waits, for some
/// milliseconds, for the response of the host that owns the tokens of the
/// customer's or a target's rate.
///
/// Thread-safe: one lock, held for microseconds. DispatchUpdates.cpp holds what
/// happens between requests (configuration, targets, other hosts),
/// DispatchAdmission.cpp who is served while a service lacks capacity,
/// DispatchTokens.cpp how a request waits for a token, DispatchTargetRates.cpp
/// the rates that targets share between all hosts, DispatchStatements.cpp what
/// targets state in their answers, DispatchForwarding.cpp what happens where
/// this host does not reach them, DispatchReturns.cpp when refused callers
/// retry, DispatchLearning.cpp what is learned from the
/// outcome of a send.
/// \see steering::FleetSteering, which steers by the tree that operators
/// configure
class DispatchSteering final : public steering::Steering {
public:
  /// Time to wait for one owner's response, after which the backup owner is
  /// asked. Within a region a datagram and its response take 1 to 2 ms where
  /// neither host waits for its processor.
  static constexpr base::Duration TokenTimeout = std::chrono::milliseconds(60);
  /// Targets for whose tokens a request waits, one after the other.
  static constexpr std::uint32_t MaxTokenRequests = 2;

  DispatchSteering(const DispatchSettings &Settings,
                   DispatchCallbacks Callbacks, base::TimePoint Now);

  // Configuration and state of the deployment.
  void setIntent(std::shared_ptr<const live::Intent> NewIntent,
                 base::TimePoint Now);
  /// \param Regions  the region of each availability zone.
  void setTargets(std::span<const live::KnownTarget> Targets,
                  const std::map<base::ZoneId, base::RegionId> &Regions,
                  base::TimePoint Now);
  /// \param Zones  availability zones whose targets get no requests.
  void setEvacuated(const std::set<base::ZoneId> &Zones, base::TimePoint Now);
  /// Recomputes the shares of the customers' rates and the split between
  /// regions from the demand of all hosts. To be called every 250 ms.
  void updateFleetDemand(const FleetDemand &Fleet, base::TimePoint Now);

  // State that is exchanged with other hosts.
  std::vector<members::CustomerDemand> customerDemands(base::TimePoint Now);
  std::vector<members::ServiceDemand> serviceDemands(base::TimePoint Now);
  /// \returns the pressure of this host's callers on services that lack
  /// capacity.
  std::vector<members::ServicePressure>
  servicePressures(base::TimePoint Now) const;
  /// \returns the fraction of the demand that is served, by service.
  std::map<base::ServiceId, double> admittedShares() const;
  /// \returns the execution times that were learned, by rule.
  std::vector<members::RuleExecutionTimes> executionTimes() const;
  void
  mergeExecutionTimes(std::span<const members::RuleExecutionTimes> Announced);
  /// \returns the losses of targets to announce; nothing while it is open
  /// whether this host lost its links instead.
  std::vector<retrying::CrashEvidence> crashEvidence(base::TimePoint Now) const;
  void mergeCrashEvidence(std::span<const retrying::CrashEvidence> Announced,
                          base::TimePoint Now) {
    CrashSuspects_.merge(Announced, Now);
  }

  /// \returns the targets' rates to announce to the hosts of the region.
  std::vector<members::TargetRate> announcedRates(base::TimePoint Now) const;
  /// \returns the targets' rates to tell other regions.
  std::vector<members::TargetRate> relayedRates(base::TimePoint Now) const;
  /// \param FromOwnRegion  other regions are to be told, too.
  void mergeTargetRates(std::span<const members::TargetRate> Announced,
                        bool FromOwnRegion, base::TimePoint Now);
  /// \returns the leaving targets to announce to the hosts of the region.
  std::vector<members::TargetLeaving>
  announcedLeavings(base::TimePoint Now) const;
  /// \returns the leaving targets to tell other regions.
  std::vector<members::TargetLeaving>
  relayedLeavings(base::TimePoint Now) const;
  /// \param FromOwnRegion  other regions are to be told, too.
  void mergeTargetLeavings(std::span<const members::TargetLeaving> Announced,
                           bool FromOwnRegion, base::TimePoint Now);
  /// \returns the number of targets that state a rate.
  std::size_t limitedTargetCount() const;
  /// \returns the number of targets that rest from this host.
  std::size_t restingTargetCount(base::TimePoint Now) const;
  /// \returns whether this host reaches targets. \see TargetReach
  bool reachesTargets() const;
  /// \returns the number of targets that this host has ejected.
  std::size_t ejectedTargetCount(base::TimePoint Now) const;

  // Tokens of the customers' and the targets' rates.
  /// Takes a token for a request of another host.
  /// \returns nothing: a token was taken; else the time until there is one.
  std::optional<base::Duration> grantToken(const members::TokenRequest &Wanted,
                                           base::TimePoint Now);
  /// Takes back a customer's token that another host did not need.
  void takeBackToken(const base::CustomerId &Customer);
  /// Handles an owner's response for a request that waits.
  /// \param Number  as passed to DispatchCallbacks::RequestToken_.
  /// \param Wait  time until there is a token; nothing: it was granted.
  /// \param Woken  gains the decision on the request.
  void handleTokenResponse(std::uint64_t Number,
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
  bool mayWrite(std::uint64_t Ticket, base::TimePoint Now) override;
  void recordAnswerHead(std::uint64_t Ticket, const steering::AnswerHead &Head,
                        base::TimePoint Now) override;
  std::vector<steering::TargetProbe> probesDue(base::TimePoint Now) override;
  void recordProbe(const steering::TargetProbe &Probe, bool Connected,
                   base::TimePoint Now) override;
  void cancel(std::uint64_t Ticket, base::TimePoint Now) override;
  void tick(base::TimePoint Now, std::vector<steering::Wakeup> &Woken) override;

private:
  /// Lowest status of an answer that is a failure of the target itself.
  static constexpr int MinServerError = 500;

  /// Why a request is not served while its service lacks capacity.
  struct ShareRefusal {
    steering::Refusal Reason_ = steering::Refusal::OverShare;
    steering::ShareInputs Inputs_;
  };

  /// A request from its arrival to its end.
  struct InFlightRequest {
    base::ServiceId Service_;
    base::CustomerId Customer_;
    /// A token of the customer's rate was taken at this host.
    bool TookOwnToken_ = false;
    /// Address of the host that granted a token of it; empty: none did.
    std::string TokenGranter_;
    /// Another host forwarded it.
    bool IsForwarded_ = false;
    /// The host that it was forwarded to last; empty: it went to a target.
    base::HostId SentToHost_;
    std::vector<base::HostId> TriedHosts_;
    std::string Rule_;
    std::uint32_t Priority_ = 0;
    /// Until when its caller waits, which may be longer than the rule allows.
    base::TimePoint CallerGivesUpAt_;
    /// Its caller was refused before and waited, where retries are paced; and
    /// it retries when the service's schedule expects it.
    bool IsRetry_ = false;
    bool IsDueRetry_ = false;
    /// Number in [0, 1) that stays the same for the request.
    double Draw_ = 0;
    /// Why it may not wait for a slot; nothing: it may, or is not decided yet.
    std::optional<ShareRefusal> OverShare_;
    /// It was counted as admitted, and as lacking capacity.
    bool IsAdmitted_ = false;
    bool LacksCapacity_ = false;
    std::uint64_t Object_ = 0;
    std::uint64_t Fingerprint_ = 0;
    std::uint64_t BodyBytes_ = 0;
    std::optional<std::vector<base::RegionId>> Homes_;
    base::TimePoint Deadline_;
    /// Until when an answer is worth most; the deadline where no objective is
    /// stated.
    base::TimePoint ObjectiveAt_;
    /// The rule's objective, counted from arrival; zero: none is stated.
    base::Duration LatencyObjective_{};
    bool Idempotent_ = false;
    std::uint32_t MaxSends_ = 1;
    std::uint32_t Sends_ = 0;
    /// Sends that did not reach a target. They do not count as sends, but each
    /// takes time, so they are bounded as well.
    std::uint32_t UndeliveredSends_ = 0;
    std::vector<base::TargetId> TriedTargets_;
    /// Key of the target, and its start, that it was sent to last.
    std::uint64_t SentTo_ = 0;
    /// A token of the retry budget was spent ahead, for the send that follows
    /// an abandoned one.
    bool RetryReserved_ = false;
    /// The target to which the send that follows an abandoned one goes; the
    /// request counts there already. Empty: none.
    base::TargetId ReservedTarget_;
    /// Number of targets for whose tokens it waited.
    std::uint32_t TokenRequests_ = 0;
    /// The target for which it was granted a token; empty: none.
    base::TargetId GrantedTarget_;
    bool MayHaveRun_ = false;
    /// Of the last send: whether the target had handled the object recently,
    /// and the expected wait for a slot.
    bool KnownWarm_ = false;
    base::Duration ExpectedWait_{};
    /// Factor of the target's run times that was expected of it.
    double RunTimeFactor_ = 1;
  };

  /// Retries of a service's refused requests of one priority.
  struct ServiceReturns {
    admission::ReturnSchedule Schedule_;
    /// Requests that this host sends to targets.
    DecayingRate Placed_;
  };

  /// When a refused caller is told to retry.
  struct ReturnTurn {
    /// Zero: no turn comes in time.
    base::Duration Wait_{};
    /// Nothing where retries are not paced.
    std::optional<steering::ReturnInfo> Info_;
  };

  struct ServiceState {
    ServiceState(const SharedRetryBudget &Budget, RegionSplit Split)
        : RetryBudget_(Budget), RegionSplit_(std::move(Split)) {}

    std::vector<TargetState> Targets_;
    SharedRetryBudget RetryBudget_;
    RegionSplit RegionSplit_;
    RegionLoads RegionLoads_;
    ServiceSpeeds Speeds_;
    /// Slots that requests of this host's callers keep busy, by the region that
    /// they are bound to; empty: they may run in any.
    std::map<base::RegionId, DecayingRate> Demands_;
    /// Slots and demand of the regions, as last computed.
    std::map<base::RegionId, RegionLoad> RegionSlots_;
    /// By the other region that requests are bound to; empty: any, or the own.
    std::map<base::RegionId, admission::ServiceAdmission> Admissions_;
    /// Share of recent requests that would miss their objective because they
    /// wait for a slot.
    double LateShare_ = 0;
    double ColdRatePerSecond_ = 0;
    base::Duration ColdTime_{};
    /// Until then its requests are not forwarded, unless this host reaches no
    /// target at all.
    base::TimePoint ForwardingPausedUntil_;
    /// By priority.
    std::map<std::uint32_t, ServiceReturns> Returns_;
  };

  /// What a customer's share of a full service is computed from.
  struct CustomerShare {
    admission::WeightedDemand Demand_;
    /// The customer has a priority of its own.
    bool HasOwnPriority_ = false;
  };

  /// Where tokens of a target's stated rate may come from.
  enum class TokenSource {
    /// The request is not sent yet: no token is taken.
    Nowhere,
    /// Only from this host, as the request cannot wait.
    ThisHost,
    AnyHost,
  };

  /// Result of the choice of a target.
  struct Selection {
    /// Nothing where no target may take the request.
    std::optional<Choice> Choice_;
    /// Address of the host to request a token from first; empty: none.
    std::string TokenOwner_;
    /// This host's own token was taken.
    bool TookToken_ = false;
    /// Time until a target that was passed over has a token; nothing: none was
    /// passed over.
    std::optional<base::Duration> NextToken_;

    void passOver(base::Duration Wait) noexcept {
      NextToken_ = std::min(NextToken_.value_or(Wait), Wait);
    }
  };

  /// A request that waits for a token.
  struct TokenWait {
    base::CustomerId Customer_;
    /// The target whose token it waits for; empty: the customer's.
    base::TargetId Target_;
    /// As passed to DispatchCallbacks::RequestToken_.
    std::uint64_t Number_ = 0;
    /// Address of the only host that may answer; empty: there are several.
    std::string Owner_;
    /// Address of the host to ask next; empty: none.
    std::string BackupOwner_;
    base::TimePoint TimeoutAt_;
    /// Both owners are asked, and neither has denied a token.
    bool AwaitsBoth_ = false;
    /// Time until there is a token, from the owner that denied one.
    std::optional<base::Duration> DeniedWait_;
  };

  /// A request whose answer was lost, kept until it is known whether its target
  /// went down.
  struct LostRequest {
    std::uint64_t Fingerprint_ = 0;
    base::TargetId Target_;
    base::TimePoint Time_;
  };

  ServiceState &serviceState(const base::ServiceId &Service);
  TargetState *findTarget(ServiceState &Service, const base::TargetId &Target);
  ExecutionTimes &executionTimesOf(const InFlightRequest &Request);
  /// \param Only  the one target to choose from; empty: any.
  Selection chooseTarget(const InFlightRequest &Request, TokenSource Source,
                         base::TimePoint Now, const base::TargetId &Only = {});
  /// Takes what a request needs of the rates that all hosts share for the
  /// target, or notes in \p Result which host to ask for it.
  bool mayUse(ServiceState &Service, TargetState &Target,
              const InFlightRequest &Request, TokenSource Source,
              Selection &Result, base::TimePoint Now);
  bool mayTakeToken(TargetState &Target, const InFlightRequest &Request,
                    TokenSource Source, Selection &Result, base::TimePoint Now);
  TargetState *findTargetByStart(std::uint64_t StartKey);
  std::optional<base::Duration>
  grantTargetToken(const members::TargetRate &Known, base::TimePoint Now);
  /// \returns the target's statements, which are added where it had none.
  TargetStatements &statementsOf(TargetState &Target, base::TimePoint Now);
  void mergeRate(TargetState &Target, const members::TargetRate &Known,
                 bool FromOwnRegion, base::TimePoint Now);
  /// Takes back the place that is counted for a send that follows an abandoned
  /// one. \returns the target; empty: none was counted.
  base::TargetId releaseReserved(InFlightRequest &Request);
  /// \returns the target of the last send, where it accepts requests now.
  TargetState *lastTargetInUse(const InFlightRequest &Request,
                               base::TimePoint Now);
  std::size_t
  countTargets(const std::function<bool(const TargetState &)> &Selected) const;
  /// \returns what this host takes the targets for that may serve the request.
  steering::TargetCounts targetCountsFor(const InFlightRequest &Request,
                                         base::TimePoint Now);
  /// \returns where all targets rest, the time after which a refused caller
  /// should come back: a while after the first of them ends its rest.
  std::optional<base::Duration> returnAfterRest(const InFlightRequest &Request,
                                                base::TimePoint Now);
  /// Decides on a request that passed its customer's rate limit.
  steering::Decision admit(std::uint64_t Ticket, InFlightRequest &Request,
                           base::TimePoint Now);
  /// Decides whether the request may wait for a slot while its service lacks
  /// capacity, or others come first.
  void decideShare(InFlightRequest &Request, base::TimePoint Now);
  /// Counts the request as admitted.
  void recordShare(InFlightRequest &Request, base::TimePoint Now);
  /// Refuses a request that may not wait for a slot and finds none free.
  steering::Decision refuseUnshared(std::uint64_t Ticket,
                                    const InFlightRequest &Request,
                                    const ShareRefusal &OverShare);
  /// \returns a number in [0, 1) that stays the same for the request.
  double admissionDraw(const base::RequestId &Id, std::uint64_t Ticket) const;
  /// \returns the other region that the request is bound to; empty: any, or
  /// the own one.
  base::RegionId admissionRegion(const InFlightRequest &Request) const;
  admission::ServiceAdmission &admissionOf(const InFlightRequest &Request);
  /// Counts a request that cannot be answered in time because it would wait for
  /// a slot.
  void recordShortage(InFlightRequest &Request, const Choice &Chosen,
                      base::TimePoint Now);
  /// Counts a request that no target accepted.
  void recordTurnedAway(InFlightRequest &Request,
                        const steering::SendReport &Report,
                        base::TimePoint Now);
  void updateAdmissions(const FleetDemand &Fleet, base::TimePoint Now);
  admission::RegionPressure pressureOf(const base::ServiceId &Service,
                                       const base::RegionId &BoundTo,
                                       const FleetDemand &Fleet) const;
  /// Holds a request until the owner of its customer's tokens responds.
  steering::Decision awaitToken(std::uint64_t Ticket,
                                const base::CustomerId &Customer,
                                const RateLimitDecision &Verdict,
                                base::TimePoint Now);
  /// Holds a request until \p Owner responds on a token of the target's rate.
  steering::Decision awaitTargetToken(std::uint64_t Ticket,
                                      InFlightRequest &Request,
                                      const TargetState &Target,
                                      const std::string &Owner,
                                      base::TimePoint Now);
  /// \param DeniedFor  time until there is a token; nothing: there is one.
  steering::Decision endTargetTokenWait(std::uint64_t Ticket,
                                        std::optional<base::Duration> DeniedFor,
                                        base::TimePoint Now);
  /// \param Wait  time until there is a token; nothing: there is one.
  steering::Decision endTokenWait(std::uint64_t Ticket,
                                  std::optional<base::Duration> Wait,
                                  base::TimePoint Now);
  /// \param Ahead  positions reserved before, where this host knows it.
  steering::Decision refuseRateLimited(std::uint64_t Ticket,
                                       base::Duration Wait,
                                       std::optional<std::uint32_t> Ahead,
                                       base::TimePoint Now);
  /// Learns the usual deadline of the rule's callers and finds out whether the
  /// request is a retry.
  void recognizeRetry(const steering::Request &Arrived,
                      InFlightRequest &Request);
  /// \returns when the request's caller may retry; nothing where retries are
  /// not paced.
  std::optional<members::ReturnTerms>
  returnTerms(const InFlightRequest &Request, base::TimePoint Now);
  /// Decides when the caller of a request that its service has no capacity for
  /// retries, whatever the reason, and reserves its position.
  ReturnTurn reserveReturn(const InFlightRequest &Request, base::TimePoint Now);
  /// Uses the position that a retry of the service has.
  void claimReturn(InFlightRequest &Request, base::TimePoint Now);
  void recordPlacement(const InFlightRequest &Request, base::TimePoint Now);
  std::optional<base::Duration>
  takeCustomerToken(const members::TokenRequest &Wanted, base::TimePoint Now);
  std::optional<base::Duration>
  takeFallbackToken(const base::CustomerId &Customer, base::TimePoint Now);
  /// \param Reserved  the target where a place was counted for the request;
  /// empty: none.
  steering::Decision send(std::uint64_t Ticket, InFlightRequest &Request,
                          TokenSource Source, base::TimePoint Now,
                          const base::TargetId &Reserved = {});
  /// Refuses a request that no target may take now.
  steering::Decision refuseUnplaced(std::uint64_t Ticket,
                                    const Selection &Selected,
                                    base::TimePoint Now);
  steering::Decision refuse(steering::Refusal Why, base::Duration RetryAfter,
                            bool MayHaveRun) const;
  steering::Decision endRequest(std::uint64_t Ticket, bool ByTarget,
                                base::Duration RetryAfter, base::TimePoint Now);
  void recordOutcome(const InFlightRequest &Request, TargetState *Target,
                     const steering::SendReport &Report, base::TimePoint Now);
  void recordExecutionTime(const InFlightRequest &Request, TargetState &Target,
                           const steering::SendReport &Report);
  base::Duration responseTimeout(const InFlightRequest &Request,
                                 const Choice &Chosen);
  /// Updates the share of requests that would be late because they wait.
  void recordLateness(const InFlightRequest &Request, const Choice &Chosen,
                      base::TimePoint Now);
  /// \returns the time by which a request must be answered, else it is refused
  /// at once.
  base::TimePoint latestAnswerTime(const InFlightRequest &Request,
                                   const Choice &Chosen);
  bool canAnswerInTime(const InFlightRequest &Request, const Choice &Chosen,
                       base::TimePoint Now);
  bool mayRetry(const InFlightRequest &Request,
                const steering::SendReport &Report);
  /// Adds the demand for a service of each region's callers.
  void addDemands(const base::ServiceId &Id, ServiceState &Service,
                  const FleetDemand &Fleet, base::TimePoint Now,
                  std::map<base::RegionId, RegionLoad> &Result);
  void updateRegionSplits(const FleetDemand &Fleet, base::TimePoint Now);
  void recordLoss(const InFlightRequest &Request, const base::TargetId &Target,
                  base::TimePoint Now);
  void recordTargetDown(const base::TargetId &Target, base::TimePoint Now);

  /// \returns whether this host reaches none of the targets that may serve the
  /// request, as far as it knows.
  bool areTargetsUnreached(const InFlightRequest &Request, base::TimePoint Now);
  /// \returns whether each of those targets failed for this host, or may have
  /// restarted since.
  bool areTargetsDoubtful(const InFlightRequest &Request, base::TimePoint Now);
  /// \returns the decision to forward the request, where a host may take it.
  std::optional<steering::Decision>
  forward(std::uint64_t Ticket, InFlightRequest &Request, base::TimePoint Now);
  /// \returns the host that it may be forwarded to; nothing: none.
  std::optional<members::HostDescriptor>
  chooseHost(const InFlightRequest &Request, base::TimePoint Now);
  /// \returns what becomes of a request whose targets are unreached; nothing:
  /// it goes on as usual.
  std::optional<steering::Decision> forwardIfUnreached(std::uint64_t Ticket,
                                                       InFlightRequest &Request,
                                                       base::TimePoint Now);
  steering::Decision refuseUnreached(std::uint64_t Ticket, base::TimePoint Now);
  /// Returns the token that was taken for a request which this host does not
  /// send, to where it came from.
  void refundToken(InFlightRequest &Request);
  steering::Decision finishForwarded(std::uint64_t Ticket,
                                     InFlightRequest &Request,
                                     const steering::SendReport &Report,
                                     base::TimePoint Now);
  std::vector<TargetState *> probeCandidates(base::TimePoint Now);
  void forgetFailures(base::TimePoint Since);

  const DispatchSettings Settings_;
  const DispatchCallbacks Callbacks_;
  const TargetChooser Chooser_;
  mutable std::mutex Lock_;
  base::Random Random_;
  std::shared_ptr<const live::Intent> Intent_;
  std::map<base::ServiceId, ServiceState> Services_;
  std::set<base::ZoneId> EvacuatedZones_;
  std::map<std::string, ExecutionTimes> ExecutionTimes_;
  std::map<std::string, admission::UsualDeadline> UsualDeadlines_;
  std::unordered_map<std::uint64_t, InFlightRequest> InFlight_;
  std::map<std::uint64_t, TokenWait> TokenWaits_;
  std::uint64_t LastTicket_ = 0;
  CustomerRateLimiter RateLimiter_;
  /// Demand of the customers while a service lacks capacity; otherwise empty.
  std::map<base::CustomerId, CustomerShare> CustomerShares_;
  SharedRateOwners RateOwners_;
  TargetReach Reach_;
  ForwardingHosts Forwarders_;
  StatementTable Statements_;
  std::size_t HostCount_ = 1;
  retrying::CrashSuspects CrashSuspects_;
  std::vector<LostRequest> LostRequests_;
};

} // namespace lychee::dispatch

#endif
