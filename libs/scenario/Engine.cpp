#include "scenario/Engine.h"

#include "scenario/IntentBuilder.h"
#include "scenario/ScenarioCheck.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lychee::scenario {

namespace {

constexpr base::Duration TickInterval = std::chrono::milliseconds(10);
constexpr base::Duration ReportInterval = std::chrono::milliseconds(250);
constexpr base::Duration SampleInterval = std::chrono::milliseconds(100);
/// Between two hosts or a host and a target of one region.
constexpr base::Duration LocalDelay = std::chrono::microseconds(500);
/// After the end no one sends; what is in flight has this long to end.
constexpr base::Duration Tail = std::chrono::seconds(12);

} // namespace

Engine::Engine(const Scenario &Played, Strategy &Plays,
               std::set<std::uint64_t> Traced)
    : Played_(Played), Plays_(Plays), Traced_(std::move(Traced)),
      Start_(Events_.now()), Recorder_(Played, Start_),
      TargetRandom_(Played.Seed_ * 7919 + 1),
      SpreadRandom_(Played.Seed_ * 7919 + 2),
      LoadFactors_(Played.Loads_.size(), 1) {
  for (std::size_t Load = 0; Load < Played.Loads_.size(); ++Load)
    LoadRandom_.emplace_back(Played.Seed_ * 7919 + 100 + Load);
  buildFleet();
}

void Engine::buildFleet() {
  Intent_ = buildIntent(Played_);
  for (const LinkSpec &Link : Played_.Links_) {
    const base::RegionId Left(Link.Left_);
    const base::RegionId Right(Link.Right_);
    Delays_[{Left, Right}] = Link.OneWayDelay_;
    Delays_[{Right, Left}] = Link.OneWayDelay_;
  }
  for (const std::string &Name : Played_.Regions_) {
    const base::RegionId From(Name);
    std::vector<base::RegionId> &Order = Preferences_[From];
    for (const std::string &Other : Played_.Regions_)
      Order.emplace_back(Other);
    std::ranges::stable_sort(
        Order, {}, [&](const base::RegionId &To) { return delay(From, To); });
  }
  for (const auto &[Id, Service] : Intent_.Services_)
    for (const settings::Target &Target : Service.Targets_) {
      PlayedTarget Added;
      Added.Intent_ = Target;
      Added.Service_ = Id;
      const std::string &Zone = Target.Zone_.name();
      Added.Region_ = base::RegionId(Zone.substr(0, Zone.rfind('-')));
      Added.Fake_ = std::make_unique<FakeTarget>(
          Events_, Target.Slots_, Target.Connections_,
          [this](const CallerRequest &Run) { Recorder_.ran(Run); });
      Added.ReportLag_ = Played_.ReportLag_;
      TargetPlaces_[Target.Id_] = Targets_.size();
      Targets_.push_back(std::move(Added));
    }
  for (const std::string &Name : hostNames(Played_)) {
    PlayedHost Added;
    Added.Name_ = Name;
    Added.Region_ = base::RegionId(Name.substr(0, Name.rfind('-')));
    Hosts_.push_back(std::move(Added));
  }
}

base::Duration Engine::delay(const base::RegionId &From,
                             const base::RegionId &To) const {
  if (From == To)
    return LocalDelay;
  const auto Found = Delays_.find({From, To});
  return Found == Delays_.end() ? LinkSpec{}.OneWayDelay_ : Found->second;
}

void Engine::startStrategy() {
  PeerNetwork Peers;
  Peers.Hosts_ = Hosts_.size();
  Peers.Name_ = [this](std::size_t Host) {
    return base::HostId(Hosts_[Host].Name_ + "/" +
                        std::to_string(Hosts_[Host].Process_));
  };
  Peers.Region_ = [this](std::size_t Host) { return Hosts_[Host].Region_; };
  Peers.Alive_ = [this](std::size_t Host) { return Hosts_[Host].Alive_; };
  Peers.Send_ = [this](std::size_t From, std::size_t To,
                       std::function<void()> Arrive) {
    if (PeersCut_)
      return;
    const std::uint32_t Process = Hosts_[To].Process_;
    Events_.after(delay(Hosts_[From].Region_, Hosts_[To].Region_),
                  [this, To, Process, Run = std::move(Arrive)] {
                    if (Hosts_[To].Alive_ && Hosts_[To].Process_ == Process)
                      Run();
                  });
  };
  Peers.Wake_ = [this](std::size_t Host,
                       const std::vector<steering::Wakeup> &Woken) {
    wake(Host, Woken);
  };
  Plays_.start(Peers, Played_.Seed_, Start_);
  const auto Intent = std::make_shared<const settings::Intent>(Intent_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    Plays_.applyIntent(Host, Intent, Start_);
}

Outcome Engine::run() {
  startStrategy();
  for (std::size_t Load = 0; Load < Played_.Loads_.size(); ++Load)
    scheduleArrivals(Load);
  for (const EventSpec &Event : Played_.Events_)
    scheduleEvent(Event);
  scheduleTicks();
  Events_.runUntil(end() + Tail);
  endAll();
  return Recorder_.finish();
}

void Engine::scheduleTicks() {
  const base::TimePoint Last = end() + Tail;
  for (base::TimePoint Time = Start_; Time < Last; Time += TickInterval)
    Events_.at(Time, [this] { tick(); });
  for (base::TimePoint Time = Start_; Time < end(); Time += ReportInterval)
    Events_.at(Time, [this] { reportLoads(); });
  for (base::TimePoint Time = Start_ + Played_.Warmup_; Time < end();
       Time += SampleInterval)
    Events_.at(Time, [this] { sampleHeadroom(); });
}

void Engine::tick() {
  Plays_.tick(Events_.now());
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
    if (!Hosts_[Host].Alive_)
      continue;
    std::vector<steering::Wakeup> Woken;
    Plays_.steering(Host).tick(Events_.now(), Woken);
    wake(Host, Woken);
  }
}

void Engine::reportLoads() {
  for (const PlayedTarget &Target : Targets_) {
    if (Target.ReportsStopped_ || Target.Fake_->down())
      continue;
    const std::size_t Load = Target.Lies_ ? 0 : Target.Fake_->load();
    deliverReport({Target.Service_, Target.Intent_.Id_,
                   static_cast<std::uint32_t>(Load), Events_.now()},
                  Target.ReportLag_);
  }
}

void Engine::deliverReport(const LoadReport &Taken, base::Duration Lag) {
  Events_.after(Lag, [this, Taken] {
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
      if (Hosts_[Host].Alive_)
        Plays_.report(Host, Taken, Events_.now());
  });
}

void Engine::sampleHeadroom() {
  std::map<std::pair<base::ServiceId, base::RegionId>,
           std::pair<std::size_t, std::size_t>>
      Pools;
  for (const PlayedTarget &Target : Targets_) {
    if (Target.Fake_->down())
      continue;
    auto &[Busy, Slots] = Pools[{Target.Service_, Target.Region_}];
    Busy += Target.Fake_->running();
    Slots += Target.Fake_->slots();
  }
  double Least = 1;
  for (const auto &[Where, Pool] : Pools)
    Least = std::min(Least, 1 - static_cast<double>(Pool.first) /
                                    static_cast<double>(Pool.second));
  Recorder_.sampledHeadroom(Least);
}

void Engine::endAll() {
  std::uint64_t Crashes = 0;
  for (const PlayedTarget &Target : Targets_)
    Crashes += Target.Fake_->crashes();
  Recorder_.result().TargetsCrashed_ = Crashes;
  for (PlayedHost &Host : Hosts_) {
    for (const auto &[Ticket, Asked] : Host.Waiting_)
      Recorder_.lost(*Asked);
    for (const auto &[Send, Open] : Host.Sends_)
      Recorder_.lost(*Open.Request_);
  }
}

void Engine::note(const CallerRequest &Asked, const std::string &Text) {
  if (!Traced_.contains(Asked.Serial_))
    return;
  std::array<char, 64> Head{};
  std::snprintf(Head.data(), Head.size(), "%9.3fs request=%llu ",
                base::toSeconds(Events_.now() - Start_),
                static_cast<unsigned long long>(Asked.Serial_));
  Recorder_.result().Trace_.push_back(Head.data() + Text);
}

void Engine::noteDecision(std::size_t Host, const CallerRequest &Asked,
                          const steering::Decision &Taken) {
  if (!Traced_.contains(Asked.Serial_))
    return;
  using Action = steering::Decision::Action;
  std::string Text = "host=" + Hosts_[Host].Name_;
  if (Taken.Action_ == Action::Send)
    Text += " send=" + Taken.Target_.name();
  else if (Taken.Action_ == Action::Wait)
    Text += " wait";
  else
    Text += " end=" + std::string(steering::nameOf(Taken.Refusal_));
  Text += " why=" + std::string(Taken.Reason_);
  for (const steering::PassedOverTarget &Other : Taken.PassedOverTargets_)
    Text +=
        " passed=" + Other.Target_.name() + ":" + std::string(Other.Reason_);
  note(Asked, Text);
}

} // namespace lychee::scenario
