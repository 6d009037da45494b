#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

/// What a host does that does not reach the targets: it forwards requests to
/// hosts that do, and probes targets until it reaches them again.
namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;
using steering::SendOutcome;
using steering::SendReport;

namespace {

/// Hosts that a request is forwarded to, one after the other.
constexpr std::size_t MaxForwards = 3;
/// Where this host reaches some targets and another host reaches none of those
/// of a service either, they are most likely down: its requests are not
/// forwarded for this long.
constexpr base::Duration ForwardingPause = std::chrono::seconds(1);
/// Callers that come back sooner would find the same state.
constexpr base::Duration UnreachedRetryAfter = std::chrono::milliseconds(500);

/// \returns a number in [0, 1) that stays the same for an object.
double positionOf(std::uint64_t Object) noexcept {
  constexpr unsigned Bits = 53;
  return static_cast<double>(base::stableHash("ramp", Object) >> (64 - Bits)) /
         static_cast<double>(std::uint64_t{1} << Bits);
}

bool isUndelivered(SendOutcome Outcome) noexcept {
  return Outcome == SendOutcome::ConnectFailed ||
         Outcome == SendOutcome::ClosedBeforeWrite ||
         Outcome == SendOutcome::Withheld || Outcome == SendOutcome::Shed;
}

} // namespace

bool DispatchSteering::areTargetsUnreached(const InFlightRequest &Request,
                                           base::TimePoint Now) {
  const double OwnShare = Request.IsForwarded_ ? (Reach_.isReached() ? 1 : 0)
                                               : Reach_.ownShare(Now);
  if (OwnShare < 1 && positionOf(Request.Object_) >= OwnShare)
    return true;
  if (Request.UndeliveredSends_ > 0 && Reach_.isSuspicious(Now))
    return true;
  // Nearly always the first target decides.
  const auto *Homes = Request.Homes_ ? &*Request.Homes_ : nullptr;
  bool Any = false;
  for (const TargetState &Target : serviceState(Request.Service_).Targets_) {
    if (!TargetChooser::isInUse(Target) ||
        !TargetChooser::isInHomes(Homes, Target))
      continue;
    if (!Target.Health_.isEjected(Now))
      return false;
    Any = true;
  }
  return Any;
}

bool DispatchSteering::areTargetsDoubtful(const InFlightRequest &Request,
                                          base::TimePoint Now) {
  const steering::TargetCounts Counts = targetCountsFor(Request, Now);
  return Counts.InUse_ > 0 &&
         Counts.Ejected_ + Counts.OnProbation_ == Counts.InUse_;
}

std::optional<members::HostDescriptor>
DispatchSteering::chooseHost(const InFlightRequest &Request,
                             base::TimePoint Now) {
  const bool IsPaused =
      Reach_.isReached() &&
      Now < serviceState(Request.Service_).ForwardingPausedUntil_;
  if (Request.IsForwarded_ || IsPaused || Request.Sends_ >= Request.MaxSends_ ||
      Request.TriedHosts_.size() >= MaxForwards)
    return std::nullopt;
  return Forwarders_.choose(Request.Homes_ ? &*Request.Homes_ : nullptr,
                            Request.TriedHosts_, Random_, Now);
}

std::optional<Decision> DispatchSteering::forward(std::uint64_t Ticket,
                                                  InFlightRequest &Request,
                                                  base::TimePoint Now) {
  const std::optional<members::HostDescriptor> Host = chooseHost(Request, Now);
  if (!Host)
    return std::nullopt;
  // The other host takes a token for it.
  refundToken(Request);
  Forwarders_.recordSend(Host->Host_);
  Request.TriedHosts_.push_back(Host->Host_);
  Request.SentToHost_ = Host->Host_;
  Request.GrantedTarget_ = {};
  Decision Result;
  Result.Action_ = Decision::Action::Send;
  Result.Ticket_ = Ticket;
  Result.Host_ = Host->Host_;
  Result.Address_ = Host->CallerAddress_;
  Result.Region_ = Host->Region_;
  Result.Reason_ = "targets-unreached";
  Result.Sends_ = Request.Sends_;
  Result.SendsLeft_ = Request.MaxSends_ - Request.Sends_;
  Result.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  return Result;
}

std::optional<Decision> DispatchSteering::forwardIfUnreached(
    std::uint64_t Ticket, InFlightRequest &Request, base::TimePoint Now) {
  if (!areTargetsUnreached(Request, Now))
    return std::nullopt;
  if (std::optional<Decision> Forwarded = forward(Ticket, Request, Now))
    return Forwarded;
  // While connects begin to fail, and after a cut, it may still be sent.
  if (Reach_.isReached() && !Request.IsForwarded_)
    return std::nullopt;
  return refuseUnreached(Ticket, Now);
}

Decision DispatchSteering::refuseUnreached(std::uint64_t Ticket,
                                           base::TimePoint Now) {
  const auto Found = InFlight_.find(Ticket);
  InFlightRequest &Request = Found->second;
  const bool MayHaveRun = Request.MayHaveRun_;
  if (!MayHaveRun)
    refundToken(Request);
  const steering::TargetCounts Counts = targetCountsFor(Request, Now);
  if (Request.RetryReserved_)
    serviceState(Request.Service_).RetryBudget_.refund();
  InFlight_.erase(Found);
  Decision Refused = refuse(
      MayHaveRun ? Refusal::TargetFailed : Refusal::TargetsUnreached,
      MayHaveRun ? base::Duration::zero() : UnreachedRetryAfter, MayHaveRun);
  Refused.Targets_ = Counts;
  return Refused;
}

void DispatchSteering::refundToken(InFlightRequest &Request) {
  if (std::exchange(Request.TookOwnToken_, false))
    RateLimiter_.refund(Request.Customer_);
  if (!Request.TokenGranter_.empty())
    Callbacks_.RefundToken_(std::exchange(Request.TokenGranter_, {}),
                            Request.Customer_);
}

Decision DispatchSteering::finishForwarded(std::uint64_t Ticket,
                                           InFlightRequest &Request,
                                           const SendReport &Report,
                                           base::TimePoint Now) {
  const base::HostId Host = std::exchange(Request.SentToHost_, {});
  Forwarders_.recordEnd(Host);
  const std::uint32_t Granted = Request.MaxSends_ - Request.Sends_;
  Request.Sends_ += std::min(Granted, Report.HostSends_.value_or(Granted));
  if (Report.Outcome_ == SendOutcome::Answered ||
      Report.Outcome_ == SendOutcome::Cancelled ||
      Report.Outcome_ == SendOutcome::CancelledBeforeWrite) {
    InFlight_.erase(Ticket);
    return {};
  }
  if (!isUndelivered(Report.Outcome_)) {
    // The other host may have used up all sends that the request has.
    Request.MayHaveRun_ = true;
    return refuseUnreached(Ticket, Now);
  }
  // It closed a kept connection at that moment; a new one will do.
  if (Report.Outcome_ == SendOutcome::ClosedBeforeWrite)
    Request.TriedHosts_.pop_back();
  else
    Forwarders_.recordFailure(Host, Now);
  if (Report.Outcome_ == SendOutcome::Shed)
    serviceState(Request.Service_).ForwardingPausedUntil_ =
        Now + ForwardingPause;
  auto Next = Report.BodyGone_ ? std::nullopt : forward(Ticket, Request, Now);
  return Next ? *Next : refuseUnreached(Ticket, Now);
}

std::vector<retrying::CrashEvidence>
DispatchSteering::crashEvidence(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (!Reach_.isReached() || Reach_.isSuspicious(Now))
    return {};
  return CrashSuspects_.evidence(Now);
}

bool DispatchSteering::reachesTargets() const {
  const std::lock_guard Guard(Lock_);
  return Reach_.isReached();
}

// Probes.

std::vector<TargetState *>
DispatchSteering::probeCandidates(base::TimePoint Now) {
  std::vector<TargetState *> Candidates;
  for (auto &[Id, Service] : Services_)
    for (TargetState &Target : Service.Targets_)
      if (TargetChooser::acceptsRequests(Target, Now))
        Candidates.push_back(&Target);
  return Candidates;
}

std::vector<steering::TargetProbe>
DispatchSteering::probesDue(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (!Reach_.wantsRound(Now))
    return {};
  std::vector<TargetState *> Candidates = probeCandidates(Now);
  std::shuffle(Candidates.begin(), Candidates.end(), Random_);
  const std::size_t Count = Reach_.beginRound(Candidates.size(), Now);
  // One of each availability zone goes first: a zone may be lost as a whole.
  std::set<base::ZoneId> Zones;
  std::vector<TargetState *> Ordered;
  std::vector<TargetState *> Others;
  for (TargetState *Target : Candidates)
    (Zones.insert(Target->Record_.Zone_).second ? Ordered : Others)
        .push_back(Target);
  Ordered.insert(Ordered.end(), Others.begin(), Others.end());
  std::vector<steering::TargetProbe> Probes;
  Probes.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Probes.push_back({Ordered[Index]->Record_.Id_,
                      Ordered[Index]->Record_.Address_, Reach_.round()});
  return Probes;
}

void DispatchSteering::recordProbe(const steering::TargetProbe &Probe,
                                   bool Connected, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const TargetReach::Change Changed =
      Reach_.recordProbe(Probe.Round_, Connected, Now);
  if (Changed == TargetReach::Change::None)
    return;
  const bool Lost = Changed == TargetReach::Change::Lost;
  if (Lost) {
    LostRequests_.clear();
    CrashSuspects_.forgetSince(Reach_.failingSince());
  } else if (Forwarders_.any()) {
    forgetFailures(Reach_.failingSince());
  }
  Callbacks_.OnReach_({!Lost, Now - Reach_.failingSince(), Probe.Target_});
}

/// Other hosts reached targets all the while, so that it was this host's link
/// and not the targets: they are neither unhealthy nor cold.
void DispatchSteering::forgetFailures(base::TimePoint Since) {
  for (auto &[Id, Service] : Services_)
    for (TargetState &Target : Service.Targets_)
      Target.Health_.forgetSince(Since);
}

} // namespace lychee::dispatch
