#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;
using steering::SendOutcome;
using steering::SendReport;

namespace {

/// Where a request would wait: share of the time between its objective and its
/// deadline that it may take; otherwise it is refused at once. The full share
/// applies while no requests are late, none of it once MaxLateShare of them
/// would be.
/// Load pattern: targets that are full for long. A request that waits until its
/// deadline is late, and so is every request behind it; in a short burst,
/// though, a late answer is better than a refusal.
constexpr double MaxWaitShare = 1;
/// Weight of one request in the share of late ones: about the last fifty count.
constexpr double LatenessWeight = 0.02;
constexpr double MaxLateShare = 0.3;
/// The least such share for a caller that retried when it was told to: it goes
/// before new requests, which are refused once targets' queues are this long.
constexpr double DueRetryWaitShare = 0.5;
/// Multiples of the expected wait, which is an estimate, and of the expected
/// run after which silence is not due to variation: the run time of a request
/// varies by a sixth around its mean. The run may be a cold one, whatever was
/// expected; with the time of a warm one, sends were abandoned while their
/// targets worked on them.
constexpr double WaitTimeoutFactor = 2.5;
constexpr double RunTimeoutFactor = 1.5;
constexpr base::Duration MinResponseTimeout = std::chrono::milliseconds(150);

/// Sends that reach no target cause no load, but each takes time.
constexpr std::uint32_t MaxUndeliveredSends = 3;
/// Callers that come back sooner would find the same queue.
constexpr base::Duration MinRetryAfter = std::chrono::milliseconds(100);

/// \returns the expected run time in percent of the usual one; empty where the
/// target states no speed.
std::optional<std::uint32_t> speedPercentOf(const Choice &Chosen) {
  if (!Chosen.Target_->Speed_.factor())
    return std::nullopt;
  constexpr double Percent = 100;
  return static_cast<std::uint32_t>(
      std::lround(Chosen.RunTimeFactor_ * Percent));
}
} // namespace

DispatchSteering::DispatchSteering(const DispatchSettings &Settings,
                                   DispatchCallbacks Callbacks,
                                   base::TimePoint Now)
    : Settings_(Settings), Callbacks_(std::move(Callbacks)),
      Chooser_(Settings.Region_, Settings.Zone_), Random_(Settings.Seed_),
      RateLimiter_(Settings.Bounds_, Now) {}

DispatchSteering::ServiceState &
DispatchSteering::serviceState(const base::ServiceId &Service) {
  const auto Found = Services_.find(Service);
  if (Found != Services_.end())
    return Found->second;
  const live::DeploymentBounds &Bounds = Settings_.Bounds_;
  return Services_
      .try_emplace(
          Service, SharedRetryBudget(Bounds.RetryRatio_, Bounds.RetrySlack_),
          RegionSplit(Settings_.Region_, Bounds.Features_.LeadingSplit_))
      .first->second;
}

TargetState *DispatchSteering::findTarget(ServiceState &Service,
                                          const base::TargetId &Target) {
  const auto Found =
      std::find_if(Service.Targets_.begin(), Service.Targets_.end(),
                   [&Target](const TargetState &Candidate) {
                     return Candidate.Record_.Id_ == Target;
                   });
  return Found == Service.Targets_.end() ? nullptr : &*Found;
}

ExecutionTimes &
DispatchSteering::executionTimesOf(const InFlightRequest &Request) {
  return ExecutionTimes_.try_emplace(Request.Rule_, Request.LatencyObjective_)
      .first->second;
}

Decision DispatchSteering::refuse(Refusal Why, base::Duration RetryAfter,
                                  bool MayHaveRun) const {
  Decision Result;
  Result.Action_ = Decision::Action::Refuse;
  Result.Refusal_ = Why;
  Result.Ran_ = MayHaveRun ? steering::Ran::Maybe : steering::Ran::No;
  Result.RetryAfter_ = RetryAfter;
  Result.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  return Result;
}

Decision DispatchSteering::arrive(const steering::Request &Arrived,
                                  base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const std::uint64_t Ticket = ++LastTicket_;
  InFlightRequest &Request = InFlight_[Ticket];
  Request.Service_ = Arrived.Service_;
  Request.Customer_ = Arrived.Customer_;
  Request.IsForwarded_ = !Arrived.ForwardedBy_.empty();
  Request.Rule_ = Arrived.Rule_;
  Request.Priority_ = Arrived.Priority_;
  Request.Draw_ = admissionDraw(Arrived.Id_, Ticket);
  Request.Object_ =
      Arrived.ObjectHash_ != 0 ? Arrived.ObjectHash_ : Random_() | 1U;
  Request.Fingerprint_ = Arrived.Fingerprint_;
  Request.BodyBytes_ = Arrived.BodyBytes_;
  Request.Homes_ = Arrived.Homes_;
  Request.Deadline_ = Arrived.Deadline_;
  Request.ObjectiveAt_ = Arrived.LatencyObjective_ > base::Duration::zero()
                             ? Arrived.ArrivedAt_ + Arrived.LatencyObjective_
                             : Arrived.Deadline_;
  Request.LatencyObjective_ = Arrived.LatencyObjective_;
  Request.Idempotent_ = Arrived.Idempotent_;
  Request.MaxSends_ = std::max(1U, Arrived.MaxSends_);
  recognizeRetry(Arrived, Request);
  // Before a token is taken: the other host takes one.
  if (auto Unreached = forwardIfUnreached(Ticket, Request, Now))
    return *Unreached;
  if (Arrived.Customer_.empty())
    return admit(Ticket, Request, Now);
  const RateLimitDecision Verdict =
      RateLimiter_.take(Arrived.Customer_, Now, returnTerms(Request, Now));
  switch (Verdict.Kind_) {
  case RateLimitDecision::Kind::Denied:
    return refuseRateLimited(Ticket, Verdict.RetryAfter_, Verdict.Ahead_, Now);
  case RateLimitDecision::Kind::AskOwner:
    return awaitToken(Ticket, Arrived.Customer_, Verdict, Now);
  case RateLimitDecision::Kind::Allowed:
    Request.TookOwnToken_ = true;
    break;
  }
  return admit(Ticket, Request, Now);
}

Decision DispatchSteering::admit(std::uint64_t Ticket, InFlightRequest &Request,
                                 base::TimePoint Now) {
  ServiceState &Service = serviceState(Request.Service_);
  Service.RetryBudget_.recordRequest(HostCount_);
  const base::TimePoint Suspect =
      CrashSuspects_.suspectUntil(Request.Fingerprint_, Now);
  if (Suspect > Now) {
    InFlight_.erase(Ticket);
    return refuse(Refusal::CrashSuspect, Suspect - Now, false);
  }
  const bool IsBound = Request.Homes_ && Request.Homes_->size() == 1;
  const double RunSeconds = executionTimesOf(Request).meanSeconds();
  Service.Demands_[IsBound ? Request.Homes_->front() : base::RegionId()].add(
      RunSeconds, Now);
  if (!IsBound)
    Service.RegionSplit_.recordRequest(Request.Rule_, RunSeconds);
  claimReturn(Request, Now);
  decideShare(Request, Now);
  return send(Ticket, Request, TokenSource::AnyHost, Now);
}

DispatchSteering::Selection
DispatchSteering::chooseTarget(const InFlightRequest &Request,
                               TokenSource Source, base::TimePoint Now,
                               const base::TargetId &Only) {
  ServiceState &Service = serviceState(Request.Service_);
  ChoiceQuery Query;
  Query.Object_ = Request.Object_;
  Query.BodyBytes_ = Request.BodyBytes_;
  Query.Homes_ = Request.Homes_ ? &*Request.Homes_ : nullptr;
  Query.TriedTargets_ = Request.TriedTargets_;
  Query.Only_ = Only.empty() ? nullptr : &Only;
  Query.Region_ = Service.RegionSplit_.regionFor(
      Request.Object_, Request.BodyBytes_, Query.Homes_, Request.Rule_);
  Query.ExecutionTimes_ = executionTimesOf(Request);
  Query.RegionLoads_ = &Service.RegionLoads_;
  Query.Speeds_ = &Service.Speeds_;
  Selection Result;
  const auto MayUse = [&](TargetState &Target) {
    return mayUse(Service, Target, Request, Source, Result, Now);
  };
  Result.Choice_ = Chooser_.choose(Query, Service.Targets_, MayUse, Now);
  return Result;
}

base::Duration DispatchSteering::responseTimeout(const InFlightRequest &Request,
                                                 const Choice &Chosen) {
  const double Waiting = base::toSeconds(Chosen.ExpectedWait_);
  const double Expected =
      base::toSeconds(Chosen.ExpectedResponseTime_) - Waiting;
  const double Cold = executionTimesOf(Request).coldSeconds() *
                      Chosen.Target_->Slowness_ * Chosen.RunTimeFactor_;
  return std::max(
      MinResponseTimeout,
      base::fromSeconds(Waiting * WaitTimeoutFactor +
                        std::max(Expected, Cold) * RunTimeoutFactor));
}

void DispatchSteering::recordLateness(const InFlightRequest &Request,
                                      const Choice &Chosen,
                                      base::TimePoint Now) {
  if (Request.ObjectiveAt_ >= Request.Deadline_)
    return;
  double &LateShare = serviceState(Request.Service_).LateShare_;
  const bool Waits = Chosen.ExpectedWait_ > base::Duration::zero();
  const bool IsLate =
      Waits && Now + Chosen.ExpectedResponseTime_ > Request.ObjectiveAt_;
  LateShare += LatenessWeight * ((IsLate ? 1 : 0) - LateShare);
}

base::TimePoint
DispatchSteering::latestAnswerTime(const InFlightRequest &Request,
                                   const Choice &Chosen) {
  const bool Waits = Chosen.ExpectedWait_ > base::Duration::zero();
  if (Request.ObjectiveAt_ >= Request.Deadline_ || !Waits)
    return Request.Deadline_;
  const double LateShare = serviceState(Request.Service_).LateShare_;
  const double WaitShare =
      std::max(MaxWaitShare * std::max(0.0, 1 - LateShare / MaxLateShare),
               Request.IsDueRetry_ ? DueRetryWaitShare : 0);
  const double MaxWaitSeconds =
      base::toSeconds(Request.Deadline_ - Request.ObjectiveAt_) * WaitShare;
  return Request.ObjectiveAt_ + base::fromSeconds(MaxWaitSeconds);
}

bool DispatchSteering::canAnswerInTime(const InFlightRequest &Request,
                                       const Choice &Chosen,
                                       base::TimePoint Now) {
  return Now + Chosen.ExpectedResponseTime_ < latestAnswerTime(Request, Chosen);
}

Decision DispatchSteering::refuseUnplaced(std::uint64_t Ticket,
                                          const Selection &Selected,
                                          base::TimePoint Now) {
  Decision Refused = endRequest(
      Ticket, false,
      std::max(Selected.NextToken_.value_or(MinRetryAfter), MinRetryAfter),
      Now);
  if (Selected.NextToken_ && Refused.Refusal_ == Refusal::NoHeadroom) {
    Refused.Refusal_ = Refusal::TargetRatesUsedUp;
    if (Refused.RetryAfter_ > base::Duration::zero())
      Refused.RetryAfter_ = std::max(Refused.RetryAfter_, *Selected.NextToken_);
  }
  return Refused;
}

Decision DispatchSteering::send(std::uint64_t Ticket, InFlightRequest &Request,
                                TokenSource Source, base::TimePoint Now,
                                const base::TargetId &Reserved) {
  if (Request.Sends_ + Request.UndeliveredSends_ > 0)
    if (auto Unreached = forwardIfUnreached(Ticket, Request, Now))
      return *Unreached;
  Selection Selected = chooseTarget(Request, Source, Now, Reserved);
  const bool IsReserved = !Reserved.empty() && Selected.Choice_;
  if (!Reserved.empty() && !IsReserved)
    Selected = chooseTarget(Request, Source, Now);
  const std::optional<Choice> &Chosen = Selected.Choice_;
  if (!Chosen) {
    const auto Forwarded = areTargetsDoubtful(Request, Now)
                               ? forward(Ticket, Request, Now)
                               : std::nullopt;
    return Forwarded ? *Forwarded : refuseUnplaced(Ticket, Selected, Now);
  }
  // A request that cannot be answered in time is not sent: it would take a slot
  // from one that can, and its caller gains nothing by waiting.
  TargetState &Target = *Chosen->Target_;
  const steering::ChoiceInputs Inputs{static_cast<std::uint32_t>(Chosen->Rank_),
                                      Chosen->ExpectedResponseTime_,
                                      Chosen->Load_,
                                      Target.Load_.reportAge(Now),
                                      speedPercentOf(*Chosen),
                                      Target.Speed_.age(Now)};
  recordLateness(Request, *Chosen, Now);
  if (Request.OverShare_ && Request.TriedTargets_.empty() &&
      Chosen->ExpectedWait_ > base::Duration::zero()) {
    if (Selected.TookToken_)
      Target.Stated_->rate().refund();
    return refuseUnshared(Ticket, Request, *Request.OverShare_);
  }
  recordShare(Request, Now);
  recordShortage(Request, *Chosen, Now);
  if (!IsReserved && !canAnswerInTime(Request, *Chosen, Now)) {
    if (Selected.TookToken_)
      Target.Stated_->rate().refund();
    Decision Refused = endRequest(
        Ticket, false, std::max(Chosen->ExpectedWait_, MinRetryAfter), Now);
    Refused.Inputs_ = Inputs;
    return Refused;
  }
  if (!Selected.TokenOwner_.empty())
    return awaitTargetToken(Ticket, Request, Target, Selected.TokenOwner_, Now);
  Decision Result;
  Result.Inputs_ = Inputs;
  Request.GrantedTarget_ = {};
  Target.Load_.recordSend();
  Request.KnownWarm_ = Target.RecentObjects_.contains(Request.Object_, Now);
  Request.ExpectedWait_ = Chosen->ExpectedWait_;
  Request.RunTimeFactor_ = Chosen->RunTimeFactor_;
  ++Request.Sends_;
  recordPlacement(Request, Now);
  Request.TriedTargets_.push_back(Target.Record_.Id_);
  Request.SentTo_ = Target.StartKey_;
  Result.Action_ = Decision::Action::Send;
  Result.Ticket_ = Ticket;
  Result.Target_ = Target.Record_.Id_;
  Result.Address_ = Target.Record_.Address_;
  Result.ExpectedTarget_ = Target.Record_.Id_.name();
  Result.Sends_ = Request.Sends_;
  Result.SendsLeft_ = Request.MaxSends_ - Request.Sends_;
  Result.Region_ = Target.Region_;
  Result.Reason_ = Chosen->Reason_;
  Result.PassedOverTargets_ = TargetChooser::passedOverForStatements(
      Request.Object_, serviceState(Request.Service_).Targets_, Target, Now);
  Result.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  if (Request.Idempotent_ && Request.Sends_ < Request.MaxSends_)
    Result.ResponseDeadline_ = Now + responseTimeout(Request, *Chosen);
  return Result;
}

bool DispatchSteering::mayAbandonSend(std::uint64_t Ticket,
                                      base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return false;
  InFlightRequest &Request = Found->second;
  if (!Request.SentToHost_.empty())
    return false;
  const auto Other = chooseTarget(Request, TokenSource::Nowhere, Now).Choice_;
  const bool OtherCanAnswer = Other && canAnswerInTime(Request, *Other, Now);
  if (!(Reach_.isReached() ? OtherCanAnswer
                           : chooseHost(Request, Now).has_value()))
    return false;
  Request.RetryReserved_ =
      serviceState(Request.Service_).RetryBudget_.trySpend();
  if (Request.RetryReserved_ && Other && Reach_.isReached()) {
    Other->Target_->Load_.recordSend();
    Request.ReservedTarget_ = Other->Target_->Record_.Id_;
  }
  return Request.RetryReserved_;
}

base::TargetId DispatchSteering::releaseReserved(InFlightRequest &Request) {
  base::TargetId Reserved = std::exchange(Request.ReservedTarget_, {});
  if (Reserved.empty())
    return Reserved;
  if (TargetState *Target =
          findTarget(serviceState(Request.Service_), Reserved))
    Target->Load_.recordEnd();
  return Reserved;
}

TargetState *DispatchSteering::lastTargetInUse(const InFlightRequest &Request,
                                               base::TimePoint Now) {
  if (Request.TriedTargets_.empty() || !Request.SentToHost_.empty())
    return nullptr;
  TargetState *Target =
      findTarget(serviceState(Request.Service_), Request.TriedTargets_.back());
  return Target != nullptr && TargetChooser::acceptsRequests(*Target, Now)
             ? Target
             : nullptr;
}

/// Checks that the target still accepts work, and takes a token of the retry
/// budget and of the rates that the target shares between hosts. Failure
/// without the check: a target announced that it leaves while the first send
/// was running there, and the second one reached it after all work had to be
/// finished. Failure without the tokens: second sends on dead connections were
/// in no budget.
bool DispatchSteering::mayHedge(std::uint64_t Ticket, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return false;
  ServiceState &Service = serviceState(Found->second.Service_);
  TargetState *Target = lastTargetInUse(Found->second, Now);
  if (Target == nullptr || !Service.RetryBudget_.hasToken())
    return false;
  Selection Unused;
  return mayUse(Service, *Target, Found->second, TokenSource::ThisHost, Unused,
                Now) &&
         Service.RetryBudget_.trySpend();
}

bool DispatchSteering::mayWrite(std::uint64_t Ticket, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  return Found != InFlight_.end() &&
         (!Found->second.SentToHost_.empty() ||
          lastTargetInUse(Found->second, Now) != nullptr);
}

/// Ends a request that is not sent again, and returns its refusal. A request
/// that may have run is never refused with an answer that states that it did
/// not.
Decision DispatchSteering::endRequest(std::uint64_t Ticket, bool ByTarget,
                                      base::Duration RetryAfter,
                                      base::TimePoint Now) {
  const auto Found = InFlight_.find(Ticket);
  const bool MayHaveRun = Found->second.MayHaveRun_;
  const std::optional<base::Duration> AfterRest =
      returnAfterRest(Found->second, Now);
  const steering::TargetCounts Counts = targetCountsFor(Found->second, Now);
  const bool Doubtful = areTargetsDoubtful(Found->second, Now);
  if (Found->second.RetryReserved_)
    serviceState(Found->second.Service_).RetryBudget_.refund();
  if (Doubtful && !MayHaveRun && !ByTarget && !AfterRest)
    refundToken(Found->second);
  const ReturnTurn Turn = MayHaveRun || ByTarget || AfterRest || Doubtful
                              ? ReturnTurn()
                              : reserveReturn(Found->second, Now);
  InFlight_.erase(Found);
  Decision Refused;
  if (MayHaveRun || ByTarget)
    Refused = refuse(
        MayHaveRun ? Refusal::TargetFailed : Refusal::NoHealthyTarget,
        MayHaveRun ? base::Duration::zero() : AfterRest.value_or(RetryAfter),
        MayHaveRun);
  else
    Refused =
        refuse(AfterRest  ? Refusal::TargetsRest
               : Doubtful ? Refusal::TargetsUnreached
                          : Refusal::NoHeadroom,
               AfterRest.value_or(Turn.Info_ ? Turn.Wait_ : RetryAfter), false);
  Refused.Return_ = Turn.Info_;
  Refused.Targets_ = Counts;
  return Refused;
}

bool DispatchSteering::mayRetry(const InFlightRequest &Request,
                                const SendReport &Report) {
  const bool OwnFailure = Report.Outcome_ == SendOutcome::Answered &&
                          Report.Status_ >= MinServerError;
  if (OwnFailure)
    return Request.Idempotent_ && !Report.BodyGone_ &&
           Request.Sends_ < Request.MaxSends_;
  const retrying::RetryVerdict Verdict =
      retrying::evaluateRetry({Report.Outcome_, Request.Idempotent_,
                               Report.AnswerStarted_, Report.BodyGone_});
  return Verdict.mayRetry() && Request.Sends_ < Request.MaxSends_;
}

Decision DispatchSteering::finish(std::uint64_t Ticket,
                                  const SendReport &Report, base::TimePoint Now,
                                  std::vector<steering::Wakeup> & /*Woken*/) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end())
    return {};
  InFlightRequest &Request = Found->second;
  if (!Request.SentToHost_.empty())
    return finishForwarded(Ticket, Request, Report, Now);
  const base::TargetId Reserved = releaseReserved(Request);
  ServiceState &Service = serviceState(Request.Service_);
  TargetState *Target = Request.TriedTargets_.empty()
                            ? nullptr
                            : findTarget(Service, Request.TriedTargets_.back());
  recordOutcome(Request, Target, Report, Now);
  const bool Reached = Report.Outcome_ != SendOutcome::ConnectFailed &&
                       Report.Outcome_ != SendOutcome::ClosedBeforeWrite &&
                       Report.Outcome_ != SendOutcome::Withheld;
  if (!Reached) {
    --Request.Sends_;
    ++Request.UndeliveredSends_;
  }
  // The target closed a kept-alive connection at that moment; a new one to the
  // same target will do.
  if (Report.Outcome_ == SendOutcome::ClosedBeforeWrite &&
      !Request.TriedTargets_.empty())
    Request.TriedTargets_.pop_back();
  const retrying::Ran Ran =
      retrying::evaluateRetry(
          {Report.Outcome_, Request.Idempotent_, Report.AnswerStarted_})
          .Ran_;
  Request.MayHaveRun_ = Request.MayHaveRun_ || Ran != retrying::Ran::No;
  bool Retries = mayRetry(Request, Report) &&
                 Request.UndeliveredSends_ <= MaxUndeliveredSends;
  // A send that reached no target causes no second arrival, so its retry takes
  // no token.
  if (Retries && Reached && !Request.RetryReserved_)
    Retries = Service.RetryBudget_.trySpend();
  else if (Retries && Reached)
    Request.RetryReserved_ = false;
  // An answer that is there, though a failure, is not held back for a token.
  if (Retries)
    return send(Ticket, Request,
                Report.Outcome_ == SendOutcome::Answered ? TokenSource::ThisHost
                                                         : TokenSource::AnyHost,
                Now, Reserved);
  const bool Ended = Report.Outcome_ == SendOutcome::Answered ||
                     Report.Outcome_ == SendOutcome::Cancelled ||
                     Report.Outcome_ == SendOutcome::CancelledBeforeWrite;
  const bool TurnedAway = Report.Outcome_ == SendOutcome::Shed ||
                          Report.Outcome_ == SendOutcome::Withheld;
  recordTurnedAway(Request, Report, Now);
  Decision Result = endRequest(Ticket, !TurnedAway, MinRetryAfter, Now);
  return Ended ? Decision() : Result;
}

void DispatchSteering::cancel(std::uint64_t Ticket, base::TimePoint /*Now*/) {
  const std::lock_guard Guard(Lock_);
  if (const auto Found = InFlight_.find(Ticket); Found != InFlight_.end())
    releaseReserved(Found->second);
  InFlight_.erase(Ticket);
  TokenWaits_.erase(Ticket);
}

} // namespace lychee::dispatch
