#include "steering/ServiceSteering.h"

#include "steering/ReturnTime.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace lychee::steering {

namespace {

/// Number of low bits of a ticket that identify the service.
constexpr unsigned IndexBits = 16;
/// Interval between updates of medians and home slots.
constexpr base::Duration UpkeepInterval = std::chrono::milliseconds(100);
/// Under saturation a wait may last this many ordinary requests, which equals
/// AdmissionControl's own bound for requests of 20 ms. A bound shorter than one
/// request would refuse, at ordinary load, requests that only wait for one slot
/// to become free.
constexpr int MaxWaitInExpectedWork = 10;

using AdmissionAction = admission::AdmissionDecision::Action;

Refusal refusalOf(admission::RefusalReason Cause) noexcept {
  switch (Cause) {
  case admission::RefusalReason::None:
    return Refusal::None;
  case admission::RefusalReason::RateLimited:
    return Refusal::RateLimited;
  case admission::RefusalReason::DeadlineTooShort:
    return Refusal::DeadlineTooShort;
  case admission::RefusalReason::WaitTooLong:
  case admission::RefusalReason::QueueFull:
  case admission::RefusalReason::Saturated:
    return Refusal::QueueFull;
  case admission::RefusalReason::DeadlineExceeded:
    return Refusal::DeadlineExceeded;
  }
  return Refusal::QueueFull;
}

/// Maps the end of a send to evidence of the target's health.
placement::Outcome outcomeOf(const SendReport &Report,
                             base::Duration ExpectedWork) noexcept {
  /// A send that was cancelled after more than this many times its expected
  /// work counts against the target; one cancelled sooner was short of time.
  constexpr int FaultyWorkFactor = 5;
  constexpr int FirstServerError = 500;
  switch (Report.Outcome_) {
  case SendOutcome::Answered:
    return Report.Status_ >= FirstServerError ? placement::Outcome::Faulty
                                              : placement::Outcome::Success;
  case SendOutcome::Shed:
    return placement::Outcome::Shed;
  case SendOutcome::ConnectFailed:
  case SendOutcome::LostAfterPartialWrite:
  case SendOutcome::LostBeforeResponse:
    return placement::Outcome::Unreachable;
  case SendOutcome::ResponseTruncated:
  case SendOutcome::ResponseInvalid:
    return placement::Outcome::Faulty;
  case SendOutcome::Cancelled:
    return Report.Took_ > ExpectedWork * FaultyWorkFactor
               ? placement::Outcome::Faulty
               : placement::Outcome::Cancelled;
  case SendOutcome::ClosedBeforeWrite:
  case SendOutcome::Withheld:
  case SendOutcome::CancelledBeforeWrite:
    // A target may close an idle connection at any time.
    return placement::Outcome::Cancelled;
  }
  return placement::Outcome::Cancelled;
}

Ran ranOf(bool MayHaveRun) noexcept {
  return MayHaveRun ? Ran::Maybe : Ran::No;
}

} // namespace

ServiceSteering::ServiceSteering(base::ServiceId Service, std::uint16_t Index,
                                 const HostContext &Context, std::uint64_t Seed)
    : Service_(std::move(Service)), Index_(Index), Context_(Context),
      Random_(Seed), Retries_(Context.Limits_.Retries_) {}

void ServiceSteering::applyIntent(const settings::Intent &Intent,
                                  base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  Version_ = Intent.Version_;
  for (const settings::Link &Link : Intent.Links_) {
    RoundTrips_[{Link.Left_, Link.Right_}] = 2 * Link.OneWayDelay_;
    RoundTrips_[{Link.Right_, Link.Left_}] = 2 * Link.OneWayDelay_;
  }
  const auto Known = Intent.Services_.find(Service_);
  for (const auto &[Id, Region] : Intent.Regions_) {
    std::vector<settings::Target> Here;
    admission::AdmissionControl::Limits Limits = Context_.Limits_.Admission_;
    if (Known != Intent.Services_.end()) {
      Limits.ExpectedWork_ = Known->second.ExpectedWork_;
      Limits.SaturatedMaxWait_ =
          std::max(Limits.SaturatedMaxWait_,
                   MaxWaitInExpectedWork * Known->second.ExpectedWork_);
      std::ranges::copy_if(
          Known->second.Targets_, std::back_inserter(Here),
          [&Zones = Region.Zones_](const settings::Target &Target) {
            return std::ranges::find(Zones, Target.Zone_) != Zones.end();
          });
    }
    std::unique_ptr<RegionPool> &Pool = Pools_[Id];
    if (!Pool) {
      Pool = std::make_unique<RegionPool>(Id, Context_.Host_, Limits);
      Pool->targets().setPeers(Peers_);
      Pool->enterEpoch(Epoch_, Members_);
      if (Settled_)
        Pool->settle(Epoch_);
    }
    Pool->applyIntent(Intent, Here, Now);
  }
  setPlans(Intent, Now);
}

Decision ServiceSteering::arrive(const Request &NewRequest,
                                 const admission::RateCheck &Rate,
                                 base::TimePoint Now) {
  const base::TimePoint SuspectUntil =
      Context_.Suspects_->suspectUntil(NewRequest.Fingerprint_, Now);
  const std::scoped_lock Guard(Lock_);
  if (SuspectUntil > Now) {
    Decision Refused = refuse(Refusal::CrashSuspect, Ran::No);
    Refused.RetryAfter_ = SuspectUntil - Now;
    return Refused;
  }
  const std::uint64_t Ticket = (++LastSerial_ << IndexBits) | Index_;
  PendingRequest &Pending = Pending_[Ticket];
  Pending.Request_ = NewRequest;
  // The views point into the caller's header, which may be gone before a
  // waiting request is resumed.
  Pending.Request_.Method_ = {};
  Pending.Request_.Path_ = {};
  if (!Rate.Allowed_ && mayWaitForRate(NewRequest))
    return waitForRate(Ticket, Pending, Now);
  Decision Result = admit(Ticket, Pending, Rate, Now);
  if (Result.Action_ == Decision::Action::Refuse)
    Pending_.erase(Ticket);
  return Result;
}

Decision ServiceSteering::admit(std::uint64_t Ticket, PendingRequest &Pending,
                                const admission::RateCheck &Rate,
                                base::TimePoint Now) {
  RegionPool *Home = homePool(Pending, Now);
  if (Home && Rate.Allowed_)
    Home = applyShifts(Pending, *Home, Now);
  const auto Customer =
      Home ? Home->customerIndex(Pending.Request_.Customer_) : std::nullopt;
  if (!Customer)
    return refuseUnplaced(Pending, Now);
  Pending.Customer_ = *Customer;
  admission::AdmissionRequest Arrival;
  Arrival.Ticket_ = Ticket;
  Arrival.Customer_ = *Customer;
  Arrival.Caller_ = Pending.Request_.CallerHash_;
  Arrival.Deadline_ = Pending.Request_.Deadline_;
  Arrival.Rate_ = Rate;
  PoolChoice HomeChoice{Home, {}};
  if (Rate.Allowed_)
    HomeChoice.Choice_ = choose(*Home, Pending, Now);
  if (!spendRetryBudget(Pending, HomeChoice, Now))
    return refuse(Refusal::TargetFailed, ranOf(Pending.MayHaveRun_),
                  "retry-budget");
  Arrival.HasCapacity_ = HomeChoice.Choice_.Target_.has_value();
  const admission::AdmissionDecision Verdict =
      Home->admission().admit(Arrival, Now);
  Pending.ChargedWork_ = Verdict.ExpectedWork_;
  if (Verdict.Action_ == AdmissionAction::Admit)
    return send(Ticket, Pending, HomeChoice,
                Pending.IsShifted_ ? "shift" : "nearest");
  const bool Waits = Verdict.Action_ == AdmissionAction::Wait;
  const bool IsFinal =
      Verdict.Reason_ == admission::RefusalReason::RateLimited ||
      Verdict.Reason_ == admission::RefusalReason::DeadlineTooShort;
  if (!Waits && IsFinal)
    return refuse(Pending, Verdict);
  const base::Duration Wait =
      Waits ? Verdict.ExpectedWait_ : Arrival.Deadline_ - Now;
  std::string_view ReasonText;
  const auto Other = chooseOtherRegion(Pending, *Home, Wait, Now, ReasonText);
  if (Other) {
    if (Waits)
      Home->admission().cancel(Verdict.Position_);
    return admitElsewhere(Ticket, Pending, *Other, Now, ReasonText);
  }
  if (!Waits)
    return refuse(Pending, Verdict);
  Pending.Pool_ = Home;
  Pending.QueuePosition_ = Verdict.Position_;
  return makeWaitDecision(Ticket, Pending);
}

Decision ServiceSteering::admitElsewhere(std::uint64_t Ticket,
                                         PendingRequest &Pending,
                                         const PoolChoice &Chosen,
                                         base::TimePoint Now,
                                         std::string_view ReasonText) {
  Pending.IsShifted_ = false;
  Pending.Customer_ = Chosen.Pool_->customerIndex(Pending.Request_.Customer_)
                          .value_or(Pending.Customer_);
  admission::AdmissionRequest Arrival;
  Arrival.Ticket_ = Ticket;
  Arrival.Customer_ = Pending.Customer_;
  Arrival.Caller_ = Pending.Request_.CallerHash_;
  Arrival.Deadline_ = Pending.Request_.Deadline_;
  Arrival.HasCapacity_ = true;
  const auto Verdict = Chosen.Pool_->admission().admit(Arrival, Now);
  Pending.ChargedWork_ = Verdict.ExpectedWork_;
  if (Verdict.Action_ == AdmissionAction::Admit)
    return send(Ticket, Pending, Chosen, ReasonText);
  return refuse(Pending, Verdict);
}

bool ServiceSteering::spendRetryBudget(const PendingRequest &Pending,
                                       const PoolChoice &HomeChoice,
                                       base::TimePoint Now) {
  if (Pending.Sends_ == 0)
    return true;
  // The target's budget keeps a target that recovers from taking all retries. A
  // request that waits in the queue is assigned a target later, so only the
  // service's budget applies.
  if (!HomeChoice.Choice_.Target_)
    return Retries_.spend(Now);
  return retrying::RetryBudget::spendBoth(
      Retries_, HomeChoice.Pool_->retryBudget(*HomeChoice.Choice_.Target_),
      Now);
}

Decision ServiceSteering::send(std::uint64_t Ticket, PendingRequest &Pending,
                               const PoolChoice &Chosen,
                               std::string_view ReasonText) {
  assert(Chosen.Choice_.Target_.has_value() &&
         "the caller sends only where a target was chosen");
  const placement::TargetIndex Target = *Chosen.Choice_.Target_;
  placement::TargetPool &Targets = Chosen.Pool_->targets();
  Targets.recordStart(Target);
  ++Pending.Sends_;
  Pending.Pool_ = Chosen.Pool_;
  Pending.SentTo_ = Target;
  Pending.IsWaiting_ = false;
  Decision Result;
  Result.Action_ = Decision::Action::Send;
  Result.Ticket_ = Ticket;
  Result.Target_ = Targets.idOf(Target);
  Result.Address_ = Chosen.Pool_->address(Target);
  Result.Region_ = Chosen.Pool_->region();
  Result.Reason_ =
      ReasonText == "nearest" ? Chosen.Choice_.Reason_ : ReasonText;
  for (const placement::PassedOver &Other : Chosen.Choice_.passedOver())
    Result.PassedOverTargets_.push_back(
        {Targets.idOf(Other.Target_), Other.Reason_});
  Result.SettingsVersion_ = Version_;
  return Result;
}

Decision ServiceSteering::makeWaitDecision(std::uint64_t Ticket,
                                           PendingRequest &Pending) const {
  Pending.IsWaiting_ = true;
  Decision Result;
  Result.Action_ = Decision::Action::Wait;
  Result.Ticket_ = Ticket;
  Result.Region_ = Pending.Pool_->region();
  Result.Reason_ = "all-full";
  Result.WaitUntil_ = Pending.Request_.Deadline_;
  Result.SettingsVersion_ = Version_;
  return Result;
}

Decision ServiceSteering::refuse(Refusal Reason, Ran MayHaveRun,
                                 std::string_view ReasonText) const {
  /// Time until lost targets or a full region are worth another attempt.
  constexpr base::Duration CheckInterval = std::chrono::seconds(1);
  Decision Result;
  Result.Refusal_ = Reason;
  Result.Ran_ = MayHaveRun;
  Result.Reason_ = ReasonText.empty() ? nameOf(Reason) : ReasonText;
  Result.SettingsVersion_ = Version_;
  if (Reason == Refusal::QueueFull || Reason == Refusal::NoHealthyTarget)
    Result.RetryAfter_ = CheckInterval;
  return Result;
}

Decision ServiceSteering::refuseUnplaced(const PendingRequest &Pending,
                                         base::TimePoint Now) {
  std::optional<base::Duration> First;
  bool AllRest = true;
  for (const base::RegionId &Region : Pending.Request_.PreferredRegions_) {
    const RegionPool *Pool = poolOf(Region);
    if (!Pool || Pool->targets().active().empty())
      continue;
    const auto Left = Pool->targets().firstRestEnd(Now);
    AllRest = AllRest && Left.has_value();
    if (Left)
      First = std::min(First.value_or(*Left), *Left);
  }
  if (!First || !AllRest)
    return refuse(Refusal::NoHealthyTarget, ranOf(Pending.MayHaveRun_));
  Decision Result = refuse(Refusal::TargetsRest, ranOf(Pending.MayHaveRun_));
  Result.RetryAfter_ = returnAfterRest(*First, Random_);
  return Result;
}

Decision
ServiceSteering::refuse(const PendingRequest &Pending,
                        const admission::AdmissionDecision &Verdict) const {
  Decision Result =
      refuse(refusalOf(Verdict.Reason_), ranOf(Pending.MayHaveRun_),
             admission::nameOf(Verdict.Reason_));
  Result.RetryAfter_ = Verdict.RetryAfter_;
  return Result;
}

Decision ServiceSteering::finish(std::uint64_t Ticket, const SendReport &Report,
                                 base::TimePoint Now,
                                 std::vector<Wakeup> &Wakeups) {
  const std::scoped_lock Guard(Lock_);
  const auto Known = Pending_.find(Ticket);
  if (Known == Pending_.end() || Known->second.IsWaiting_)
    return refuse(Refusal::None, Ran::Maybe);
  release(Known->second, Report, Now);
  Decision Next = afterFailure(Ticket, Known->second, Report, Now);
  if (Next.Action_ == Decision::Action::Refuse)
    Pending_.erase(Ticket);
  resumeWaiting(Now, Wakeups);
  return Next;
}

bool ServiceSteering::mayWrite(std::uint64_t Ticket, base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  const auto Known = Pending_.find(Ticket);
  return Known == Pending_.end() || Known->second.IsWaiting_ ||
         !Known->second.Pool_->targets().isResting(Known->second.SentTo_, Now);
}

void ServiceSteering::recordAnswerHead(std::uint64_t Ticket,
                                       const AnswerHead &Head,
                                       base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  const auto Known = Pending_.find(Ticket);
  if (Known == Pending_.end() || Known->second.IsWaiting_ || Head.WrongTarget_)
    return;
  if (const auto Rest = Head.Statement_.Rest_.For_)
    Known->second.Pool_->targets().recordRest(Known->second.SentTo_,
                                              Now + *Rest);
}

void ServiceSteering::release(PendingRequest &Ended, const SendReport &Report,
                              base::TimePoint Now) {
  RegionPool &Pool = *Ended.Pool_;
  const placement::TargetIndex Target = Ended.SentTo_;
  const placement::Outcome TargetOutcome =
      outcomeOf(Report, Pool.admission().expectedWork());
  Pool.targets().recordFinish(Target, TargetOutcome, Report.Took_, Now);
  Pool.admission().recordCompletion(
      Ended.Customer_, Ended.Request_.CallerHash_, Ended.ChargedWork_,
      Report.Took_, TargetOutcome == placement::Outcome::Success, Now);
  const std::uint64_t Fingerprint = Ended.Request_.Fingerprint_;
  if (Report.Outcome_ == SendOutcome::Answered) {
    shifting::ColdCacheCost &Cold = ColdCosts_[Pool.region()];
    if (Ended.IsShifted_)
      Cold.recordMoved(Report.Took_, Now);
    else
      Cold.recordOwn(Report.Took_);
    Retries_.recordSuccess();
    Pool.retryBudget(Target).recordSuccess();
    Context_.Suspects_->recordResponse(Fingerprint);
  }
  const bool Reset = Report.Outcome_ == SendOutcome::LostBeforeResponse ||
                     Report.Outcome_ == SendOutcome::LostAfterPartialWrite ||
                     Report.Outcome_ == SendOutcome::ResponseTruncated;
  if (Reset && !Report.TimedOut_)
    Context_.Suspects_->recordTargetLoss(Fingerprint,
                                         Pool.targets().idOf(Target), Now);
}

Decision ServiceSteering::afterFailure(std::uint64_t Ticket,
                                       PendingRequest &Failed,
                                       const SendReport &Report,
                                       base::TimePoint Now) {
  const retrying::RetryVerdict Verdict =
      retrying::evaluateRetry({Report.Outcome_, Failed.Request_.Idempotent_,
                               Report.AnswerStarted_, Report.BodyGone_});
  if (Verdict.Retry_ == retrying::RetryRule::NotNeeded)
    return refuse(Refusal::None, Ran::Maybe);
  Failed.MayHaveRun_ = Failed.MayHaveRun_ || Verdict.Ran_ != retrying::Ran::No;
  const Ran MayHaveRun = ranOf(Failed.MayHaveRun_);
  const bool Cancelled =
      Verdict.Retry_ == retrying::RetryRule::ForbiddenCancelled;
  if (Cancelled || Failed.Request_.Deadline_ <= Now)
    return refuse(Refusal::DeadlineExceeded, MayHaveRun);
  if (!Verdict.mayRetry() || Failed.Sends_ >= Context_.Limits_.MaxSends_)
    return refuse(Refusal::TargetFailed, MayHaveRun);
  if (Context_.Suspects_->suspectUntil(Failed.Request_.Fingerprint_, Now) > Now)
    return refuse(Refusal::CrashSuspect, MayHaveRun);
  return admit(Ticket, Failed, {}, Now);
}

void ServiceSteering::cancel(std::uint64_t Ticket, base::TimePoint) {
  const std::scoped_lock Guard(Lock_);
  const auto Known = Pending_.find(Ticket);
  if (Known == Pending_.end() || !Known->second.IsWaiting_)
    return;
  if (std::erase(RateWaiting_, Ticket) == 0)
    Known->second.Pool_->admission().cancel(Known->second.QueuePosition_);
  Pending_.erase(Known);
}

void ServiceSteering::tick(base::TimePoint Now, std::vector<Wakeup> &Wakeups) {
  const std::scoped_lock Guard(Lock_);
  const bool IsUpkeepDue = Now - LastUpkeep_ >= UpkeepInterval;
  if (IsUpkeepDue)
    LastUpkeep_ = Now;
  stepShiftPlans(Now);
  resumeRateWaiting(Now, Wakeups);
  for (const auto &[Id, Pool] : Pools_) {
    if (IsUpkeepDue)
      Pool->targets().tick(Now);
    Pool->expireReservations(Now);
    std::vector<admission::DroppedRequest> Expired;
    Pool->admission().expire(Now, Expired);
    refuseExpired(Expired, Wakeups);
  }
  resumeWaiting(Now, Wakeups);
  spillWaiting(Now, Wakeups);
}

void ServiceSteering::resumeWaiting(base::TimePoint Now,
                                    std::vector<Wakeup> &Wakeups) {
  for (const auto &[Id, Pool] : Pools_) {
    std::vector<admission::DroppedRequest> Expired;
    while (Pool->admission().queued() > 0) {
      PoolChoice Chosen{Pool.get(), Pool->targets().choose({}, Now, Random_)};
      if (!Chosen.Choice_.Target_)
        break;
      const auto Next = Pool->admission().dequeue(Now, Expired);
      if (!Next)
        break;
      PendingRequest &First = Pending_.at(Next->Ticket_);
      // A retry goes to another target than the one that failed.
      if (First.Sends_ > 0 && First.SentTo_ == Chosen.Choice_.Target_) {
        Chosen.Choice_ = choose(*Pool, First, Now);
        if (!Chosen.Choice_.Target_) {
          First.QueuePosition_ = Pool->admission().requeue(*Next);
          break;
        }
      }
      First.ChargedWork_ = Next->Work_;
      Wakeups.push_back(
          {Next->Ticket_, send(Next->Ticket_, First, Chosen,
                               First.IsShifted_ ? "shift" : "waited")});
    }
    refuseExpired(Expired, Wakeups);
  }
}

void ServiceSteering::refuseExpired(
    std::span<const admission::DroppedRequest> Expired,
    std::vector<Wakeup> &Wakeups) {
  for (const admission::DroppedRequest &Entry : Expired) {
    const PendingRequest &Ended = Pending_.at(Entry.Request_.Ticket_);
    Decision Refused =
        refuse(refusalOf(Entry.Reason_), ranOf(Ended.MayHaveRun_),
               admission::nameOf(Entry.Reason_));
    Refused.RetryAfter_ = Entry.RetryAfter_;
    Wakeups.push_back({Entry.Request_.Ticket_, Refused});
    Pending_.erase(Entry.Request_.Ticket_);
  }
}

} // namespace lychee::steering
