#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::dispatch {

using steering::Decision;
using steering::Refusal;
using steering::SendOutcome;
using steering::SendReport;

namespace {

/// Where a request would wait, part of the time between its objective and its
/// deadline by which it must be answered, else it is refused at once: all of it
/// in a calm, and none of it once MostPressure of the requests would be late.
/// Load pattern: targets that are full for long. What waits until its deadline
/// is late, and so is all that waits behind it; in a short burst, though, late
/// is better than refused.
constexpr double WaitingPart = 1;
/// The last fifty requests make up the pressure.
constexpr double PressureWeight = 0.02;
constexpr double MostPressure = 0.3;
/// Silence for so many times the wait, which is an estimate, and the run is no
/// chance: the work of one request spreads by a sixth around its mean. The run
/// may be a cold one, whatever was expected; counted as a warm one, sends were
/// given up while their targets worked on them.
constexpr double WaitPatience = 2.5;
constexpr double RunPatience = 1.5;
constexpr base::Duration LeastPatience = std::chrono::milliseconds(150);

/// Sends that reach no target cost nothing, but each takes time.
constexpr std::uint32_t MostMisses = 3;
/// Callers that come back sooner would find the same queue.
constexpr base::Duration LeastRetryAfter = std::chrono::milliseconds(100);
} // namespace

DispatchSteering::DispatchSteering(const DispatchSettings &Settings,
                                   DispatchCallbacks Parts, base::TimePoint Now)
    : Settings_(Settings), Parts_(std::move(Parts)),
      Chooser_(Settings.Region_, Settings.Zone_), Random_(Settings.Seed_),
      Rates_(Settings.Bounds_, Now) {}

DispatchSteering::ServiceState &
DispatchSteering::serviceAt(const base::ServiceId &Service) {
  const auto Found = Services_.find(Service);
  if (Found != Services_.end())
    return Found->second;
  const live::DeploymentBounds &Bounds = Settings_.Bounds_;
  return Services_
      .emplace(Service,
               ServiceState{{},
                            SendBudget(Bounds.RetryRatio_, Bounds.RetrySlack_),
                            RegionSplit(Settings_.Region_),
                            {},
                            {},
                            0,
                            0,
                            {}})
      .first->second;
}

TargetState *DispatchSteering::find(ServiceState &Service,
                                    const base::TargetId &Target) {
  const auto Found =
      std::find_if(Service.Targets_.begin(), Service.Targets_.end(),
                   [&Target](const TargetState &Each) {
                     return Each.Record_.Id_ == Target;
                   });
  return Found == Service.Targets_.end() ? nullptr : &*Found;
}

WorkTimes &DispatchSteering::workOf(const Flight &Request) {
  return Works_.try_emplace(Request.Rule_, Request.StatedObjective_)
      .first->second;
}

Decision DispatchSteering::refuse(Refusal Why, base::Duration RetryAfter,
                                  bool MayHaveRun) const {
  Decision Made;
  Made.Action_ = Decision::Action::Refuse;
  Made.Refusal_ = Why;
  Made.Ran_ = MayHaveRun ? steering::Ran::Maybe : steering::Ran::No;
  Made.RetryAfter_ = RetryAfter;
  Made.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  return Made;
}

Decision DispatchSteering::arrive(const steering::Request &Arrived,
                                  base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const std::uint64_t Ticket = ++LastTicket_;
  Flight &Request = Flights_[Ticket];
  Request.Service_ = Arrived.Service_;
  Request.Rule_ = Arrived.Rule_;
  Request.Object_ =
      Arrived.ObjectHash_ != 0 ? Arrived.ObjectHash_ : Random_() | 1U;
  Request.Fingerprint_ = Arrived.Fingerprint_;
  Request.BodyBytes_ = Arrived.BodyBytes_;
  Request.Homes_ = Arrived.Homes_;
  Request.Deadline_ = Arrived.Deadline_;
  Request.Objective_ = Arrived.LatencyObjective_ > base::Duration::zero()
                           ? Arrived.ArrivedAt_ + Arrived.LatencyObjective_
                           : Arrived.Deadline_;
  Request.StatedObjective_ = Arrived.LatencyObjective_;
  Request.Idempotent_ = Arrived.Idempotent_;
  Request.MaximumSends_ = std::max(1U, Arrived.MaxSends_);
  if (Arrived.Customer_.empty())
    return admit(Ticket, Request, Now);
  const RateVerdict Verdict = Rates_.take(Arrived.Customer_, Now);
  switch (Verdict.Kind_) {
  case RateVerdict::Kind::Refused:
    return refuseOverRate(Ticket, Verdict.Wait_);
  case RateVerdict::Kind::AskHolder:
    return awaitToken(Ticket,
                      {Arrived.Customer_, Verdict.Second_, {}, false, {}},
                      Verdict.Holder_, Now);
  case RateVerdict::Kind::Passed:
    break;
  }
  return admit(Ticket, Request, Now);
}

Decision DispatchSteering::admit(std::uint64_t Ticket, Flight &Request,
                                 base::TimePoint Now) {
  ServiceState &Service = serviceAt(Request.Service_);
  Service.Budget_.requested(Hosts_);
  const base::TimePoint Suspect =
      Suspects_.suspectUntil(Request.Fingerprint_, Now);
  if (Suspect > Now) {
    Flights_.erase(Ticket);
    return refuse(Refusal::CrashSuspect, Suspect - Now, false);
  }
  const bool IsBound = Request.Homes_ && Request.Homes_->size() == 1;
  Service.Demands_[IsBound ? Request.Homes_->front() : base::RegionId()].add(
      workOf(Request).usualSeconds(), Now);
  return send(Ticket, Request, Now);
}

std::optional<Choice> DispatchSteering::choose(const Flight &Request,
                                               base::TimePoint Now) {
  ServiceState &Service = serviceAt(Request.Service_);
  ChoiceQuery Asked;
  Asked.Object_ = Request.Object_;
  Asked.BodyBytes_ = Request.BodyBytes_;
  Asked.Homes_ = Request.Homes_ ? &*Request.Homes_ : nullptr;
  Asked.Tried_ = Request.Tried_;
  Asked.Region_ = Service.Split_.regionFor(Request.Object_, Request.BodyBytes_,
                                           Asked.Homes_);
  Asked.Work_ = workOf(Request);
  Asked.Loads_ = &Service.Loads_;
  const auto MaySound = [&](TargetState &Each) {
    return Parts_.PickedFor_(Each.Hash_) &&
           Each.Cold_.take(Service.ColdRate_, Now);
  };
  return Chooser_.choose(Asked, Service.Targets_, MaySound, Now);
}

base::Duration DispatchSteering::patienceFor(const Flight &Request,
                                             const Choice &Chosen) {
  const double Waiting = base::toSeconds(Chosen.Waiting_);
  const double Expected = base::toSeconds(Chosen.Expected_) - Waiting;
  const double Cold = workOf(Request).coldSeconds() * Chosen.Target_->Slowness_;
  return std::max(LeastPatience,
                  base::fromSeconds(Waiting * WaitPatience +
                                    std::max(Expected, Cold) * RunPatience));
}

void DispatchSteering::notePressure(const Flight &Request, const Choice &Chosen,
                                    base::TimePoint Now) {
  if (Request.Objective_ >= Request.Deadline_)
    return;
  double &Pressure = serviceAt(Request.Service_).Pressure_;
  const bool Waits = Chosen.Waiting_ > base::Duration::zero();
  const bool IsLate = Waits && Now + Chosen.Expected_ > Request.Objective_;
  Pressure += PressureWeight * ((IsLate ? 1 : 0) - Pressure);
}

base::TimePoint DispatchSteering::latestFor(const Flight &Request,
                                            const Choice &Chosen) {
  const bool Waits = Chosen.Waiting_ > base::Duration::zero();
  if (Request.Objective_ >= Request.Deadline_ || !Waits)
    return Request.Deadline_;
  const double Pressure = serviceAt(Request.Service_).Pressure_;
  const double Part = WaitingPart * std::max(0.0, 1 - Pressure / MostPressure);
  const double Longest =
      base::toSeconds(Request.Deadline_ - Request.Objective_) * Part;
  return Request.Objective_ + base::fromSeconds(Longest);
}

bool DispatchSteering::canEnd(const Flight &Request, const Choice &Chosen,
                              base::TimePoint Now) {
  return Now + Chosen.Expected_ < latestFor(Request, Chosen);
}

Decision DispatchSteering::send(std::uint64_t Ticket, Flight &Request,
                                base::TimePoint Now) {
  const auto Chosen = choose(Request, Now);
  if (!Chosen)
    return endFailed(Ticket, false, LeastRetryAfter);
  // What cannot be answered in time is not begun: it would take room from what
  // can, and its caller learns nothing by waiting.
  TargetState &Target = *Chosen->Target_;
  const steering::ChoiceInputs Inputs{static_cast<std::uint32_t>(Chosen->Rank_),
                                      Chosen->Expected_, Chosen->Load_,
                                      Target.Load_.age(Now)};
  notePressure(Request, *Chosen, Now);
  if (!canEnd(Request, *Chosen, Now)) {
    Decision Refused =
        endFailed(Ticket, false, std::max(Chosen->Waiting_, LeastRetryAfter));
    Refused.Inputs_ = Inputs;
    return Refused;
  }
  Decision Made;
  Made.Inputs_ = Inputs;
  Target.Load_.sent();
  Request.KnownWarm_ = Target.Warm_.isWarm(Request.Object_, Now);
  Request.Waiting_ = Chosen->Waiting_;
  ++Request.Sends_;
  Request.Tried_.push_back(Target.Record_.Id_);
  Made.Action_ = Decision::Action::Send;
  Made.Ticket_ = Ticket;
  Made.Target_ = Target.Record_.Id_;
  Made.Address_ = Target.Record_.Address_;
  Made.ExpectedTarget_ = Target.Record_.Id_.name();
  Made.Region_ = Target.Region_;
  Made.Reason_ = Chosen->Reason_;
  Made.SettingsVersion_ = Intent_ ? Intent_->Version_ : 0;
  if (Request.Idempotent_ && Request.Sends_ < Request.MaximumSends_)
    Made.ResponseDeadline_ = Now + patienceFor(Request, *Chosen);
  return Made;
}

bool DispatchSteering::mayAbandonSend(std::uint64_t Ticket,
                                      base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = Flights_.find(Ticket);
  if (Found == Flights_.end())
    return false;
  Flight &Request = Found->second;
  const auto Other = choose(Request, Now);
  if (!Other || Now + Other->Expected_ >= Request.Deadline_)
    return false;
  Request.Reserved_ = serviceAt(Request.Service_).Budget_.spend();
  return Request.Reserved_;
}

/// Failure without it: the target said that it leaves while the first send was
/// at work there, and the second reached it after all work was to have ended;
/// and second sends on dead connections were in nobody's budget.
bool DispatchSteering::mayHedge(std::uint64_t Ticket, base::TimePoint /*Now*/) {
  const std::lock_guard Guard(Lock_);
  const auto Found = Flights_.find(Ticket);
  if (Found == Flights_.end() || Found->second.Tried_.empty())
    return false;
  ServiceState &Service = serviceAt(Found->second.Service_);
  const TargetState *Target = find(Service, Found->second.Tried_.back());
  return Target != nullptr && !Target->Record_.Leaving_ &&
         !Target->Evacuated_ && !Target->AddressTaken_ &&
         Service.Budget_.spend();
}

/// Ends a request that no target answered. What may have run is never refused
/// by an answer that promises the opposite.
Decision DispatchSteering::endFailed(std::uint64_t Ticket, bool ByTarget,
                                     base::Duration RetryAfter) {
  const auto Found = Flights_.find(Ticket);
  const bool MayHaveRun = Found->second.MayHaveRun_;
  if (Found->second.Reserved_)
    serviceAt(Found->second.Service_).Budget_.refund();
  Flights_.erase(Found);
  if (MayHaveRun || ByTarget)
    return refuse(MayHaveRun ? Refusal::TargetFailed : Refusal::NoHealthyTarget,
                  MayHaveRun ? base::Duration::zero() : RetryAfter, MayHaveRun);
  return refuse(Refusal::NoHeadroom, RetryAfter, false);
}

bool DispatchSteering::mayResend(const Flight &Request,
                                 const SendReport &Report) {
  const bool OwnFailure = Report.Outcome_ == SendOutcome::Answered &&
                          Report.Status_ >= FirstServerFailure;
  if (OwnFailure)
    return Request.Idempotent_ && Request.Sends_ < Request.MaximumSends_;
  const retrying::RetryVerdict Verdict = retrying::evaluateRetry(
      {Report.Outcome_, Request.Idempotent_, Report.AnswerStarted_});
  return Verdict.mayRetry() && Request.Sends_ < Request.MaximumSends_;
}

Decision DispatchSteering::finish(std::uint64_t Ticket,
                                  const SendReport &Report, base::TimePoint Now,
                                  std::vector<steering::Wakeup> & /*Woken*/) {
  const std::lock_guard Guard(Lock_);
  const auto Found = Flights_.find(Ticket);
  if (Found == Flights_.end())
    return {};
  Flight &Request = Found->second;
  ServiceState &Service = serviceAt(Request.Service_);
  TargetState *Target =
      Request.Tried_.empty() ? nullptr : find(Service, Request.Tried_.back());
  learn(Request, Target, Report, Now);
  const bool Reached = Report.Outcome_ != SendOutcome::ConnectFailed &&
                       Report.Outcome_ != SendOutcome::ClosedBeforeWrite;
  if (!Reached) {
    --Request.Sends_;
    ++Request.Misses_;
  }
  // The target closed a kept connection just then; a new one will do.
  if (Report.Outcome_ == SendOutcome::ClosedBeforeWrite &&
      !Request.Tried_.empty())
    Request.Tried_.pop_back();
  const retrying::Ran Ran =
      retrying::evaluateRetry(
          {Report.Outcome_, Request.Idempotent_, Report.AnswerStarted_})
          .Ran_;
  Request.MayHaveRun_ = Request.MayHaveRun_ || Ran != retrying::Ran::No;
  bool Again = mayResend(Request, Report) && Request.Misses_ <= MostMisses;
  // A first send that reached nobody is no second arrival anywhere.
  if (Again && Reached && !Request.Reserved_)
    Again = Service.Budget_.spend();
  else if (Again && Reached)
    Request.Reserved_ = false;
  if (Again)
    return send(Ticket, Request, Now);
  const bool Over = Report.Outcome_ == SendOutcome::Answered ||
                    Report.Outcome_ == SendOutcome::Cancelled ||
                    Report.Outcome_ == SendOutcome::CancelledBeforeWrite;
  Decision Made =
      endFailed(Ticket, Report.Outcome_ != SendOutcome::Shed, LeastRetryAfter);
  return Over ? Decision() : Made;
}

void DispatchSteering::cancel(std::uint64_t Ticket, base::TimePoint /*Now*/) {
  const std::lock_guard Guard(Lock_);
  Flights_.erase(Ticket);
  TokenWaits_.erase(Ticket);
}

} // namespace lychee::dispatch
