#include "scenario/Engine.h"

#include "scenario/IntentBuilder.h"
#include "scenario/ScenarioCheck.h"

namespace lychee::scenario {

namespace {

/// Operators' changes reach each host within this, at a time of its own.
constexpr std::uint32_t LongestSpreadMilliseconds = 1000;

} // namespace

void Engine::scheduleEvent(const EventSpec &Event) {
  Events_.at(Start_ + Event.At_, [this, &Event] { begin(Event); });
  if (Event.For_)
    Events_.at(Start_ + Event.At_ + *Event.For_,
               [this, &Event] { end(Event); });
}

void Engine::begin(const EventSpec &Event) {
  using Kind = EventSpec::Kind;
  switch (Event.Kind_) {
  case Kind::TargetSlow:
  case Kind::TargetDown:
  case Kind::TargetSheds:
  case Kind::TargetSilent:
  case Kind::TargetLies:
  case Kind::ReportsLag:
  case Kind::ReportsStop:
    return setTargetFault(Event, true);
  case Kind::RegionLost:
    return setRegion(Event.Name_, true);
  case Kind::HostGone:
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
      if (Hosts_[Host].Name_ == Event.Name_)
        setHost(Host, true);
    return;
  case Kind::PeersCut:
    PeersCut_ = true;
    return;
  case Kind::LoadFactor:
    return setLoadFactor(Event.Name_, Event.Amount_);
  case Kind::Poison:
    return poison(Event);
  case Kind::Drain:
  case Kind::ShiftStart:
  case Kind::ShiftHold:
  case Kind::ShiftResume:
  case Kind::ShiftAbort:
    return operatorActs(Event);
  }
}

void Engine::end(const EventSpec &Event) {
  using Kind = EventSpec::Kind;
  if (Event.Kind_ == Kind::RegionLost)
    return setRegion(Event.Name_, false);
  if (Event.Kind_ == Kind::PeersCut)
    PeersCut_ = false;
  else if (Event.Kind_ == Kind::LoadFactor)
    setLoadFactor(Event.Name_, 1);
  else if (Event.Kind_ == Kind::HostGone) {
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
      if (Hosts_[Host].Name_ == Event.Name_)
        setHost(Host, false);
  } else
    setTargetFault(Event, false);
}

void Engine::setTargetFault(const EventSpec &Event, bool Begins) {
  using Kind = EventSpec::Kind;
  for (PlayedTarget &Target : Targets_) {
    if (!matches(Event.Name_, Target.Intent_.Id_.name()))
      continue;
    if (Event.Kind_ == Kind::TargetSlow)
      Target.Fake_->setSlow(Begins ? Event.Amount_ : 1);
    else if (Event.Kind_ == Kind::TargetDown)
      Target.Fake_->setDown(Begins);
    else if (Event.Kind_ == Kind::TargetSheds)
      Target.Fake_->setSheds(Begins ? Event.Amount_ : 0);
    else if (Event.Kind_ == Kind::TargetSilent)
      Target.Fake_->setSilent(Begins);
    else if (Event.Kind_ == Kind::TargetLies)
      Target.Lies_ = Begins;
    else if (Event.Kind_ == Kind::ReportsLag)
      Target.ReportLag_ = Begins ? Event.Span_ : Played_.ReportLag_;
    else if (Event.Kind_ == Kind::ReportsStop)
      Target.ReportsStopped_ = Begins;
  }
}

void Engine::setRegion(const std::string &Region, bool Lost) {
  const base::RegionId Id(Region);
  for (PlayedTarget &Target : Targets_)
    if (Target.Region_ == Id)
      Target.Fake_->setDown(Lost);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Hosts_[Host].Region_ == Id)
      setHost(Host, Lost);
}

void Engine::setHost(std::size_t Host, bool Gone) {
  PlayedHost &Changed = Hosts_[Host];
  if (Changed.Alive_ != Gone)
    return;
  Changed.Alive_ = !Gone;
  if (!Gone) {
    ++Changed.Process_;
    Plays_.hostBack(Host, Events_.now());
    Plays_.applyIntent(Host, std::make_shared<const settings::Intent>(Intent_),
                       Events_.now());
    return;
  }
  for (const auto &[Ticket, Asked] : Changed.Waiting_)
    Recorder_.lost(*Asked);
  for (const auto &[Send, Open] : Changed.Sends_) {
    Recorder_.lost(*Open.Request_);
    PlayedTarget &Target = Targets_[Open.Target_];
    leaveTarget(Target);
    // The host's connections end with it, and targets see that.
    Target.Fake_->abandon(Send);
  }
  Changed.Waiting_.clear();
  Changed.Sends_.clear();
  Plays_.hostGone(Host, Events_.now());
}

void Engine::setLoadFactor(const std::string &Label, double Factor) {
  for (std::size_t Load = 0; Load < Played_.Loads_.size(); ++Load)
    if (matches(Label, Played_.Loads_[Load].Label_))
      LoadFactors_[Load] = Factor;
}

void Engine::poison(const EventSpec &Event) {
  std::size_t Load = 0;
  while (!matches(Event.Name_, Played_.Loads_[Load].Label_))
    ++Load;
  for (int Number = 0; Number < Event.Amount_; ++Number)
    Events_.after(Event.Span_ * Number, [this, Load] {
      const RequestPointer Asked = makeRequest(Load, LoadRandom_[Load]);
      Asked->Poison_ = true;
      // Its answers would be no measure of what its load's callers get.
      Asked->Counted_ = false;
      call(Asked);
    });
}

void Engine::operatorActs(const EventSpec &Event) {
  applyOperatorAction(Intent_, Event,
                      base::WallPoint(Events_.now().time_since_epoch()));
  for (PlayedTarget &Target : Targets_)
    if (Event.Kind_ == EventSpec::Kind::Drain &&
        matches(Event.Name_, Target.Intent_.Id_.name()))
      Target.DrainBegan_ = Events_.now();
  spreadIntent();
}

void Engine::spreadIntent() {
  const auto Intent = std::make_shared<const settings::Intent>(Intent_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
    const std::chrono::milliseconds Delay(
        base::drawBelow(SpreadRandom_, LongestSpreadMilliseconds));
    Events_.after(Delay, [this, Host, Intent] {
      if (Hosts_[Host].Alive_)
        Plays_.applyIntent(Host, Intent, Events_.now());
    });
  }
}

} // namespace lychee::scenario
