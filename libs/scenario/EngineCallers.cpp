#include "scenario/Engine.h"

#include <algorithm>
#include <cmath>

namespace lychee::scenario {

void Engine::scheduleArrivals(std::size_t Load) { scheduleNext(Load); }

void Engine::scheduleNext(std::size_t Load) {
  base::Random &Source = LoadRandom_[Load];
  const double Rate = Played_.Loads_[Load].RatePerSecond_ * LoadFactors_[Load];
  // A load switched off looks again, as a factor may bring it back.
  constexpr base::Duration LookAgain = std::chrono::milliseconds(100);
  const bool Sends = Rate > 0;
  const base::Duration Gap =
      Sends ? base::fromSeconds(-std::log(1 - base::drawUnit(Source)) / Rate)
            : LookAgain;
  if (Events_.now() + Gap >= end())
    return;
  Events_.after(Gap, [this, Load, Sends] {
    if (Sends)
      call(makeRequest(Load, LoadRandom_[Load]));
    scheduleNext(Load);
  });
}

Engine::RequestPointer Engine::makeRequest(std::size_t Load,
                                           base::Random &Source) {
  const LoadSpec &Declared = Played_.Loads_[Load];
  const auto Service = std::ranges::find(Played_.Services_, Declared.Service_,
                                         &ServiceSpec::Name_);
  auto Made = std::make_shared<CallerRequest>();
  Made->Serial_ = ++LastSerial_;
  Made->Load_ = Load;
  Made->Caller_ = base::drawBelow(Source, Declared.Callers_);
  Made->Began_ = Events_.now();
  Made->Work_ = Declared.Work_.value_or(Service->Work_).draw(Source);
  Made->Idempotent_ = base::drawUnit(Source) < Declared.Idempotent_;
  Made->Counted_ = Made->Began_ >= Start_ + Played_.Warmup_;
  Made->Deadline_ = Made->Began_ + Played_.ClientDelay_ + Service->Deadline_;
  return Made;
}

std::optional<std::size_t> Engine::hostFor(const CallerRequest &Asked) const {
  const base::RegionId From(Played_.Loads_[Asked.Load_].From_);
  for (const base::RegionId &Region : Preferences_.at(From)) {
    std::vector<std::size_t> Alive;
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
      if (Hosts_[Host].Alive_ && Hosts_[Host].Region_ == Region)
        Alive.push_back(Host);
    if (!Alive.empty())
      return Alive[(Asked.Caller_ + Asked.Load_) % Alive.size()];
  }
  return std::nullopt;
}

void Engine::call(const RequestPointer &Asked) {
  const auto Host = hostFor(*Asked);
  if (!Host) {
    Recorder_.asked(*Asked, Events_.now());
    return Recorder_.lost(*Asked);
  }
  const base::RegionId From(Played_.Loads_[Asked->Load_].From_);
  const base::Duration Extra = From == Hosts_[*Host].Region_
                                   ? base::Duration(0)
                                   : delay(From, Hosts_[*Host].Region_);
  Events_.after(Played_.ClientDelay_ + Extra,
                [this, Place = *Host, Asked] { arrive(Place, Asked); });
}

void Engine::tellCaller(const RequestPointer &Asked,
                        const steering::Decision &Final) {
  if (Asked->Ended_)
    return;
  Asked->Ended_ = true;
  if (Final.Refusal_ == steering::Refusal::None)
    return Recorder_.answered(*Asked, Events_.now() + Played_.ClientDelay_);
  Recorder_.refused(*Asked, Final.Refusal_, Final.Ran_);
}

void Engine::watchPlans(const CallerRequest &Asked,
                        const steering::Decision &Taken) {
  const LoadSpec &Load = Played_.Loads_[Asked.Load_];
  for (const EventSpec &Plan : Played_.Events_) {
    const bool Concerns = Plan.Kind_ == EventSpec::Kind::ShiftStart &&
                          Plan.Service_ == Load.Service_ &&
                          Plan.From_ == Load.From_ &&
                          Events_.now() >= Start_ + Plan.At_;
    if (Concerns)
      Recorder_.placedUnderPlan(Plan, Asked,
                                Taken.Reason_ == "shift" &&
                                    Taken.Region_.name() == Plan.To_,
                                Events_.now());
  }
}

} // namespace lychee::scenario
