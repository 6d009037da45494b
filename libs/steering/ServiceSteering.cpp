#include "steering/ServiceSteering.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace lychee::steering {

namespace {

/// Bits of a ticket that name the service.
constexpr unsigned IndexBits = 16;
/// How often medians and ejections are brought up to date.
constexpr base::Duration UpkeepInterval = std::chrono::milliseconds(100);
/// Under saturation a wait may last this many ordinary requests: what
/// AdmissionControl's own bound is for work of 20 ms. A bound below the work's
/// own length refuses at ordinary load what waits for one slot to end.
constexpr int ShortWaitInWorks = 10;

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

/// What the end of a send says of the target's health.
placement::Outcome outcomeOf(const SendReport &Report,
                             base::Duration ExpectedWork) noexcept {
  /// A send that was given up after this many times its expected work speaks
  /// against its target; one given up sooner was short of time.
  constexpr int TellingWaits = 5;
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
    return Report.Took_ > ExpectedWork * TellingWaits
               ? placement::Outcome::Faulty
               : placement::Outcome::Cancelled;
  case SendOutcome::ClosedBeforeWrite:
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
                   ShortWaitInWorks * Known->second.ExpectedWork_);
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

Decision ServiceSteering::arrive(const Request &Arrived,
                                 const admission::RateCheck &Rate,
                                 base::TimePoint Now) {
  const base::TimePoint SuspectUntil =
      Context_.Suspects_->suspectUntil(Arrived.Fingerprint_, Now);
  const std::scoped_lock Guard(Lock_);
  if (SuspectUntil > Now) {
    Decision Refused = refuse(Refusal::CrashSuspect, Ran::No);
    Refused.RetryAfter_ = SuspectUntil - Now;
    return Refused;
  }
  const std::uint64_t Ticket = (++LastSerial_ << IndexBits) | Index_;
  Pending &Wanted = Pending_[Ticket];
  Wanted.Request_ = Arrived;
  // The views point into the caller's header, which may be gone before a
  // waiting request is looked at again.
  Wanted.Request_.Method_ = {};
  Wanted.Request_.Path_ = {};
  if (!Rate.Allowed_ && mayWaitForRate(Arrived))
    return holdForRate(Ticket, Wanted, Now);
  Decision Taken = enter(Ticket, Wanted, Rate, Now);
  if (Taken.Action_ == Decision::Action::Refuse)
    Pending_.erase(Ticket);
  return Taken;
}

Decision ServiceSteering::enter(std::uint64_t Ticket, Pending &Wanted,
                                const admission::RateCheck &Rate,
                                base::TimePoint Now) {
  RegionPool *Home = homeOf(Wanted, Now);
  if (Home && Rate.Allowed_)
    Home = shiftedHome(Wanted, *Home, Now);
  const auto Customer =
      Home ? Home->customer(Wanted.Request_.Customer_) : std::nullopt;
  if (!Customer)
    return refuse(Refusal::NoHealthyTarget, ranOf(Wanted.MayHaveRun_));
  Wanted.Customer_ = *Customer;
  admission::AdmissionRequest Arrival;
  Arrival.Ticket_ = Ticket;
  Arrival.Customer_ = *Customer;
  Arrival.Caller_ = Wanted.Request_.CallerHash_;
  Arrival.Deadline_ = Wanted.Request_.Deadline_;
  Arrival.Rate_ = Rate;
  Found Near{Home, {}};
  if (Rate.Allowed_)
    Near.Choice_ = choose(*Home, Wanted, Now);
  if (!payForResend(Wanted, Near, Now))
    return refuse(Refusal::TargetFailed, ranOf(Wanted.MayHaveRun_),
                  "retry-budget");
  Arrival.HasCapacity_ = Near.Choice_.Target_.has_value();
  const admission::AdmissionDecision Verdict = Home->line().admit(Arrival, Now);
  Wanted.Charged_ = Verdict.ExpectedWork_;
  if (Verdict.Action_ == AdmissionAction::Admit)
    return send(Ticket, Wanted, Near, Wanted.Shifted_ ? "shift" : "nearest");
  const bool Waits = Verdict.Action_ == AdmissionAction::Wait;
  const bool Hopeless =
      Verdict.Reason_ == admission::RefusalReason::RateLimited ||
      Verdict.Reason_ == admission::RefusalReason::DeadlineTooShort;
  if (!Waits && Hopeless)
    return refuse(Wanted, Verdict);
  const base::Duration Wait =
      Waits ? Verdict.ExpectedWait_ : Arrival.Deadline_ - Now;
  std::string_view Why;
  const auto Other = elsewhere(Wanted, *Home, Wait, Now, Why);
  if (Other) {
    if (Waits)
      Home->line().cancel(Verdict.Position_);
    return enterElsewhere(Ticket, Wanted, *Other, Now, Why);
  }
  if (!Waits)
    return refuse(Wanted, Verdict);
  Wanted.Pool_ = Home;
  Wanted.Place_ = Verdict.Position_;
  return hold(Ticket, Wanted);
}

Decision ServiceSteering::enterElsewhere(std::uint64_t Ticket, Pending &Wanted,
                                         const Found &Where,
                                         base::TimePoint Now,
                                         std::string_view Why) {
  Wanted.Shifted_ = false;
  Wanted.Customer_ = Where.Pool_->customer(Wanted.Request_.Customer_)
                         .value_or(Wanted.Customer_);
  admission::AdmissionRequest Arrival;
  Arrival.Ticket_ = Ticket;
  Arrival.Customer_ = Wanted.Customer_;
  Arrival.Caller_ = Wanted.Request_.CallerHash_;
  Arrival.Deadline_ = Wanted.Request_.Deadline_;
  Arrival.HasCapacity_ = true;
  const auto Verdict = Where.Pool_->line().admit(Arrival, Now);
  Wanted.Charged_ = Verdict.ExpectedWork_;
  if (Verdict.Action_ == AdmissionAction::Admit)
    return send(Ticket, Wanted, Where, Why);
  return refuse(Wanted, Verdict);
}

bool ServiceSteering::payForResend(const Pending &Wanted, const Found &Near,
                                   base::TimePoint Now) {
  if (Wanted.Sends_ == 0)
    return true;
  // The target's budget keeps one that comes back from taking all second
  // sends; one that waits in line finds its target later.
  if (!Near.Choice_.Target_)
    return Retries_.spend(Now);
  return retrying::RetryBudget::spendBoth(
      Retries_, Near.Pool_->retries(*Near.Choice_.Target_), Now);
}

Decision ServiceSteering::send(std::uint64_t Ticket, Pending &Wanted,
                               const Found &Where, std::string_view Why) {
  assert(Where.Choice_.Target_.has_value() &&
         "the caller sends only where a target was chosen");
  const placement::TargetIndex Target = *Where.Choice_.Target_;
  placement::TargetPool &Targets = Where.Pool_->targets();
  Targets.recordStart(Target);
  ++Wanted.Sends_;
  Wanted.Pool_ = Where.Pool_;
  Wanted.SentTo_ = Target;
  Wanted.Waits_ = false;
  Decision Taken;
  Taken.Action_ = Decision::Action::Send;
  Taken.Ticket_ = Ticket;
  Taken.Target_ = Targets.idOf(Target);
  Taken.Address_ = Where.Pool_->address(Target);
  Taken.Region_ = Where.Pool_->region();
  Taken.Reason_ = Why == "nearest" ? Where.Choice_.Reason_ : Why;
  for (const placement::PassedOver &Other : Where.Choice_.passedOver())
    Taken.PassedOverTargets_.push_back(
        {Targets.idOf(Other.Target_), Other.Reason_});
  Taken.SettingsVersion_ = Version_;
  return Taken;
}

Decision ServiceSteering::hold(std::uint64_t Ticket, Pending &Wanted) const {
  Wanted.Waits_ = true;
  Decision Taken;
  Taken.Action_ = Decision::Action::Wait;
  Taken.Ticket_ = Ticket;
  Taken.Region_ = Wanted.Pool_->region();
  Taken.Reason_ = "all-full";
  Taken.WaitUntil_ = Wanted.Request_.Deadline_;
  Taken.SettingsVersion_ = Version_;
  return Taken;
}

Decision ServiceSteering::refuse(Refusal Reason, Ran MayHaveRun,
                                 std::string_view Why) const {
  /// Until the next look at targets that are lost, or at a full region.
  constexpr base::Duration ComeBack = std::chrono::seconds(1);
  Decision Taken;
  Taken.Refusal_ = Reason;
  Taken.Ran_ = MayHaveRun;
  Taken.Reason_ = Why.empty() ? nameOf(Reason) : Why;
  Taken.SettingsVersion_ = Version_;
  if (Reason == Refusal::QueueFull || Reason == Refusal::NoHealthyTarget)
    Taken.RetryAfter_ = ComeBack;
  return Taken;
}

Decision
ServiceSteering::refuse(const Pending &Wanted,
                        const admission::AdmissionDecision &Verdict) const {
  Decision Taken = refuse(refusalOf(Verdict.Reason_), ranOf(Wanted.MayHaveRun_),
                          admission::nameOf(Verdict.Reason_));
  Taken.RetryAfter_ = Verdict.RetryAfter_;
  return Taken;
}

Decision ServiceSteering::finish(std::uint64_t Ticket, const SendReport &Report,
                                 base::TimePoint Now,
                                 std::vector<Wakeup> &Woken) {
  const std::scoped_lock Guard(Lock_);
  const auto Place = Pending_.find(Ticket);
  if (Place == Pending_.end() || Place->second.Waits_)
    return refuse(Refusal::None, Ran::Maybe);
  release(Place->second, Report, Now);
  Decision Next = afterFailure(Ticket, Place->second, Report, Now);
  if (Next.Action_ == Decision::Action::Refuse)
    Pending_.erase(Ticket);
  letWaitingGo(Now, Woken);
  return Next;
}

void ServiceSteering::release(Pending &Ended, const SendReport &Report,
                              base::TimePoint Now) {
  RegionPool &Pool = *Ended.Pool_;
  const placement::TargetIndex Target = Ended.SentTo_;
  const placement::Outcome Seen = outcomeOf(Report, Pool.line().expectedWork());
  Pool.targets().recordFinish(Target, Seen, Report.Took_, Now);
  Pool.line().recordCompletion(Ended.Customer_, Ended.Request_.CallerHash_,
                               Ended.Charged_, Report.Took_,
                               Seen == placement::Outcome::Success, Now);
  const std::uint64_t Fingerprint = Ended.Request_.Fingerprint_;
  if (Report.Outcome_ == SendOutcome::Answered) {
    shifting::ColdCost &Cold = ColdCosts_[Pool.region()];
    if (Ended.Shifted_)
      Cold.movedTook(Report.Took_, Now);
    else
      Cold.ownTook(Report.Took_);
    Retries_.recordSuccess();
    Pool.retries(Target).recordSuccess();
    Context_.Suspects_->recordResponse(Fingerprint);
  }
  const bool Reset = Report.Outcome_ == SendOutcome::LostBeforeResponse ||
                     Report.Outcome_ == SendOutcome::LostAfterPartialWrite ||
                     Report.Outcome_ == SendOutcome::ResponseTruncated;
  if (Reset && !Report.TimedOut_)
    Context_.Suspects_->recordTargetLoss(Fingerprint,
                                         Pool.targets().idOf(Target), Now);
}

Decision ServiceSteering::afterFailure(std::uint64_t Ticket, Pending &Failed,
                                       const SendReport &Report,
                                       base::TimePoint Now) {
  const retrying::RetryVerdict Verdict = retrying::evaluateRetry(
      {Report.Outcome_, Failed.Request_.Idempotent_, Report.AnswerStarted_});
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
  return enter(Ticket, Failed, {}, Now);
}

void ServiceSteering::cancel(std::uint64_t Ticket, base::TimePoint) {
  const std::scoped_lock Guard(Lock_);
  const auto Place = Pending_.find(Ticket);
  if (Place == Pending_.end() || !Place->second.Waits_)
    return;
  if (std::erase(RateWaiting_, Ticket) == 0)
    Place->second.Pool_->line().cancel(Place->second.Place_);
  Pending_.erase(Place);
}

void ServiceSteering::tick(base::TimePoint Now, std::vector<Wakeup> &Woken) {
  const std::scoped_lock Guard(Lock_);
  const bool Upkeep = Now - LastUpkeep_ >= UpkeepInterval;
  if (Upkeep)
    LastUpkeep_ = Now;
  stepShifts(Now);
  letRateWaitingGo(Now, Woken);
  for (const auto &[Id, Pool] : Pools_) {
    if (Upkeep)
      Pool->targets().tick(Now);
    Pool->upkeep(Now);
    std::vector<admission::DroppedRequest> Left;
    Pool->line().expire(Now, Left);
    giveUp(Left, Woken);
  }
  letWaitingGo(Now, Woken);
  spillWaiting(Now, Woken);
}

void ServiceSteering::letWaitingGo(base::TimePoint Now,
                                   std::vector<Wakeup> &Woken) {
  for (const auto &[Id, Pool] : Pools_) {
    std::vector<admission::DroppedRequest> Left;
    while (Pool->line().queued() > 0) {
      Found Where{Pool.get(), Pool->targets().choose({}, Now, Random_)};
      if (!Where.Choice_.Target_)
        break;
      const auto Next = Pool->line().dequeue(Now, Left);
      if (!Next)
        break;
      Pending &First = Pending_.at(Next->Ticket_);
      // A second send goes to another target than the one that failed.
      if (First.Sends_ > 0 && First.SentTo_ == Where.Choice_.Target_) {
        Where.Choice_ = choose(*Pool, First, Now);
        if (!Where.Choice_.Target_) {
          First.Place_ = Pool->line().requeue(*Next);
          break;
        }
      }
      First.Charged_ = Next->Work_;
      Woken.push_back(
          {Next->Ticket_, send(Next->Ticket_, First, Where,
                               First.Shifted_ ? "shift" : "waited")});
    }
    giveUp(Left, Woken);
  }
}

void ServiceSteering::giveUp(std::span<const admission::DroppedRequest> Left,
                             std::vector<Wakeup> &Woken) {
  for (const admission::DroppedRequest &Each : Left) {
    const Pending &Ended = Pending_.at(Each.Request_.Ticket_);
    Decision Refused = refuse(refusalOf(Each.Reason_), ranOf(Ended.MayHaveRun_),
                              admission::nameOf(Each.Reason_));
    Refused.RetryAfter_ = Each.RetryAfter_;
    Woken.push_back({Each.Request_.Ticket_, Refused});
    Pending_.erase(Each.Request_.Ticket_);
  }
}

} // namespace lychee::steering
