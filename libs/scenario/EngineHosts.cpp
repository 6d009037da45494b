#include "scenario/Engine.h"

#include "base/Hash.h"

namespace lychee::scenario {

namespace {

/// A leaving target may get new work for this long: operators' changes reach
/// hosts within a second here, and requests in retry a little later.
constexpr base::Duration LeavingGrace = std::chrono::seconds(2);

} // namespace

steering::Request Engine::steeringRequest(const CallerRequest &Asked) const {
  const LoadSpec &Load = Played_.Loads_[Asked.Load_];
  steering::Request Made;
  Made.Id_ = base::RequestId(std::to_string(Asked.Serial_));
  Made.Service_ = base::ServiceId(Load.Service_);
  Made.Customer_ = base::CustomerId(Load.Customer_);
  Made.Key_ = base::KeyId(Load.Key_.empty() ? Load.Customer_ : Load.Key_);
  Made.CallerHash_ = base::stableHash(std::to_string(Asked.Caller_),
                                      Played_.Seed_ + Asked.Load_);
  // Poison requests of one load are the same request sent again.
  Made.Fingerprint_ =
      base::stableHash(Load.Label_, Asked.Poison_ ? 0 : Asked.Serial_);
  Made.PreferredRegions_ = Preferences_.at(base::RegionId(Load.From_));
  Made.Deadline_ = Asked.Deadline_;
  Made.BodyBytes_ = Load.BodyBytes_;
  Made.Idempotent_ = Asked.Idempotent_;
  return Made;
}

void Engine::arrive(std::size_t Host, const RequestPointer &Asked) {
  Recorder_.asked(*Asked, Events_.now());
  if (!Hosts_[Host].Alive_) {
    Asked->Ended_ = true;
    return Recorder_.lost(*Asked);
  }
  const steering::Decision Taken =
      Plays_.steering(Host).arrive(steeringRequest(*Asked), Events_.now());
  follow(Host, Asked, Taken);
}

void Engine::countLetIn(CallerRequest &Asked, const steering::Decision &Taken) {
  // One that waits for tokens is let in when it leaves that wait.
  const bool Outside = Taken.Action_ == steering::Decision::Action::Refuse ||
                       Taken.Reason_ == "rate-share-short";
  if (Asked.LetIn_ || Outside)
    return;
  Asked.LetIn_ = true;
  Recorder_.letIn(Asked, Events_.now());
}

void Engine::follow(std::size_t Host, const RequestPointer &Asked,
                    const steering::Decision &Taken) {
  noteDecision(Host, *Asked, Taken);
  countLetIn(*Asked, Taken);
  switch (Taken.Action_) {
  case steering::Decision::Action::Send:
    return send(Host, Asked, Taken);
  case steering::Decision::Action::Wait:
    Hosts_[Host].Waiting_[Taken.Ticket_] = Asked;
    return;
  case steering::Decision::Action::Refuse:
    return tellCaller(Asked, Taken);
  }
}

void Engine::send(std::size_t Host, const RequestPointer &Asked,
                  const steering::Decision &Taken) {
  const std::size_t Place = TargetPlaces_.at(Taken.Target_);
  PlayedTarget &Target = Targets_[Place];
  ++Target.InFlight_;
  ++Asked->Sends_;
  countSend(*Asked, Target);
  watchPlans(*Asked, Taken);
  const std::uint64_t Send = ++LastSend_;
  PlayedHost &From = Hosts_[Host];
  const std::uint32_t Process = From.Process_;
  From.Sends_[Send] = {Asked, Taken.Ticket_, Place, Events_.now()};
  const base::Duration Delay = delay(From.Region_, Target.Region_);
  const std::string Cache = Target.Region_.name() + "/" +
                            std::to_string(Asked->Load_) + "/" +
                            std::to_string(Asked->Caller_);
  const bool Cold = Played_.ColdFactor_ > 1 && Warm_.insert(Cache).second;
  TargetJob Job;
  Job.Send_ = Send;
  Job.Request_ = Asked;
  Job.Work_ = Cold ? base::fromSeconds(base::toSeconds(Asked->Work_) *
                                       Played_.ColdFactor_)
                   : Asked->Work_;
  Job.Done_ = [this, Host, Process, Send, Delay](steering::SendOutcome End) {
    Events_.after(Delay, [this, Host, Process, Send, End] {
      endSend(Host, Process, Send, End);
    });
  };
  Events_.after(Delay, [this, Place, Started = std::move(Job)]() mutable {
    Targets_[Place].Fake_->accept(std::move(Started), TargetRandom_);
  });
  // Silence on a connection that may have died counts as lost at half the time
  // that the caller gave; the deadline itself ends every send.
  const base::Duration Left = Asked->Deadline_ - Events_.now();
  Events_.after(Left / 2, [this, Host, Process, Send, Place] {
    if (Targets_[Place].Fake_->down())
      endSend(Host, Process, Send, steering::SendOutcome::LostBeforeResponse);
  });
  Events_.at(Asked->Deadline_, [this, Host, Process, Send] {
    endSend(Host, Process, Send, steering::SendOutcome::Cancelled);
  });
}

void Engine::countSend(const CallerRequest &Asked, const PlayedTarget &Target) {
  const base::TimePoint Now = Events_.now();
  const auto Left = [&](const PlayedTarget &Other) {
    return Other.DrainBegan_ && Now - *Other.DrainBegan_ > LeavingGrace;
  };
  std::size_t InFlight = 0;
  std::size_t Slots = 0;
  for (const PlayedTarget &Other : Targets_) {
    const bool Same = Other.Service_ == Target.Service_ &&
                      Other.Region_ == Target.Region_ && !Left(Other);
    InFlight += Same ? Other.InFlight_ : 0;
    Slots += Same ? Other.Intent_.Slots_ : 0;
  }
  if (Left(Target))
    return Recorder_.sentToLeaving(Asked);
  Recorder_.sent(Asked, InFlight, Slots);
}

void Engine::leaveTarget(PlayedTarget &Left) {
  if (Left.InFlight_ > 0)
    --Left.InFlight_;
  if (Left.DrainBegan_ && Left.InFlight_ == 0)
    Recorder_.drained(Events_.now() - *Left.DrainBegan_);
}

void Engine::endSend(std::size_t Host, std::uint32_t Process,
                     std::uint64_t Send, steering::SendOutcome End) {
  PlayedHost &From = Hosts_[Host];
  const auto Found = From.Sends_.find(Send);
  if (From.Process_ != Process || Found == From.Sends_.end())
    return;
  const OpenSend Ended = Found->second;
  From.Sends_.erase(Found);
  PlayedTarget &Target = Targets_[Ended.Target_];
  leaveTarget(Target);
  if (End == steering::SendOutcome::Cancelled ||
      End == steering::SendOutcome::LostBeforeResponse)
    Target.Fake_->abandon(Send);
  note(*Ended.Request_, "target=" + Target.Intent_.Id_.name() +
                            " ended=" + std::to_string(static_cast<int>(End)));
  steering::SendReport Report;
  Report.Outcome_ = End;
  Report.Status_ = End == steering::SendOutcome::Answered ? 200 : 0;
  Report.Took_ = Events_.now() - Ended.Began_;
  std::vector<steering::Wakeup> Woken;
  const steering::Decision Next =
      Plays_.steering(Host).finish(Ended.Ticket_, Report, Events_.now(), Woken);
  follow(Host, Ended.Request_, Next);
  wake(Host, Woken);
}

void Engine::wake(std::size_t Host,
                  const std::vector<steering::Wakeup> &Woken) {
  for (const steering::Wakeup &Each : Woken) {
    const auto Found = Hosts_[Host].Waiting_.find(Each.Ticket_);
    if (Found == Hosts_[Host].Waiting_.end())
      continue;
    const RequestPointer Asked = Found->second;
    Hosts_[Host].Waiting_.erase(Found);
    follow(Host, Asked, Each.Decision_);
  }
}

} // namespace lychee::scenario
