#include "dispatch/ReachSimulation.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace lychee::tests {

using namespace std::chrono_literals;
using steering::Decision;
using steering::SendOutcome;

namespace {

constexpr base::Duration UpdateInterval = 200ms;
constexpr base::Duration RunTime = 150ms;
constexpr base::Duration ConnectTimeout = 250ms;
constexpr base::Duration RefusalDelay = 1ms;
constexpr base::Duration LookupTime = 1s;
constexpr base::Duration BookingTime = 3s;
constexpr base::Duration ReuseIdleLimit = 5s;
constexpr base::Duration ProvenLifeLimit = 100ms;
/// How often an answer that is held back is tried again.
constexpr base::Duration RetransmitPace = 50ms;
constexpr std::uint32_t Slots = 9;

} // namespace

ReachSimulation::ReachSimulation(const ReachFleet &Size, std::uint64_t Seed)
    : Size_(Size), Random_(Seed), Running_(Size.Targets_), Hosts_(Size.Hosts_) {
  auto Intent = std::make_shared<live::Intent>();
  Intent->Version_ = 1;
  live::ServiceRule &Rule = Intent->Services_[base::ServiceId("s")];
  Rule.Id_ = base::ServiceId("s");
  Rule.ColdRatePerSecond_ = 5;
  for (std::size_t Index = 0; Index < Size.Targets_; ++Index) {
    live::KnownTarget Made;
    Made.Record_.Id_ = base::TargetId("t" + std::to_string(Index));
    Made.Record_.Service_ = base::ServiceId("s");
    Made.Record_.Address_ = Made.Record_.Id_.name();
    const base::RegionId Region = regionOf(Index, Size.Regions_);
    const bool Second = Index / Size.Regions_ % 2 == 1;
    Made.Record_.Zone_ = base::ZoneId(Region.name() + (Second ? "-b" : "-a"));
    Made.Record_.Slots_ = Slots;
    Made.Record_.Started_ = 1;
    Zones_[Made.Record_.Zone_] = Region;
    Known_.push_back(Made);
  }
  for (std::size_t Index = 0; Index < Size.Hosts_; ++Index) {
    Host &Made = Hosts_[Index];
    Made.Descriptor_.Host_ = base::HostId("host-" + std::to_string(Index));
    Made.Descriptor_.Region_ = regionOf(Index, Size.Regions_);
    Made.Descriptor_.Zone_ =
        base::ZoneId(Made.Descriptor_.Region_.name() + "-a");
    Made.Descriptor_.Address_ = std::to_string(Index);
    Made.Descriptor_.CallerAddress_ = std::to_string(Index);
    Made.Steering_ = std::make_unique<Steering>(
        dispatch::DispatchSettings{
            Made.Descriptor_.Region_, Made.Descriptor_.Zone_, {}, Index + 1},
        dispatch::DispatchCallbacks{}, Now_ - 60s);
    Made.Steering_->setIntent(Intent, Now_ - 60s);
    Made.Steering_->setTargets(Known_, Zones_, Now_ - 60s);
  }
  updateAll();
}

// Hosts and what they know of each other.

dispatch::FleetDemand ReachSimulation::viewOf(std::size_t Number) const {
  dispatch::FleetDemand Result;
  Result.Self_ = Hosts_[Number].Descriptor_;
  Result.RegionCount_ = Size_.Regions_;
  Result.HostCount_ = Size_.Hosts_;
  for (const Host &Other : Hosts_) {
    if (Other.Descriptor_.Host_ == Result.Self_.Host_)
      continue;
    members::HostView View;
    View.Descriptor_ = Other.Descriptor_;
    View.Ready_ = View.Alive_ = View.HoldsShare_ = true;
    Result.OtherHosts_.push_back(std::move(View));
  }
  return Result;
}

void ReachSimulation::updateAll() {
  for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
    Hosts_[Number].Steering_->updateFleetDemand(viewOf(Number), Now_);
  schedule(UpdateInterval, [this] { updateAll(); });
}

// Links.

void ReachSimulation::cut(std::size_t Number, CutKind Kind,
                          const base::RegionId &Region) {
  Hosts_[Number].Cut_ = Cut{Kind, Region};
  if (Kind != CutKind::Resets)
    return;
  Hosts_[Number].Idle_.clear();
  std::vector<std::uint64_t> Lost;
  for (const auto &[Id, Open] : Sends_)
    if (Open.Host_ == Number && isCut(Hosts_[Number], Open.Target_, Kind))
      Lost.push_back(Id);
  for (const std::uint64_t Id : Lost)
    end(Id, SendOutcome::LostBeforeResponse);
}

void ReachSimulation::heal(std::size_t Number) { Hosts_[Number].Cut_.reset(); }

void ReachSimulation::stopTargets() {
  TargetsDown_ = true;
  for (Host &Each : Hosts_)
    Each.Idle_.clear();
  std::vector<std::uint64_t> Lost;
  for (const auto &[Id, Open] : Sends_)
    Lost.push_back(Id);
  for (const std::uint64_t Id : Lost)
    end(Id, SendOutcome::LostBeforeResponse);
}

void ReachSimulation::startTargets() {
  TargetsDown_ = false;
  for (live::KnownTarget &Known : Known_)
    ++Known.Record_.Started_;
  for (const Host &Each : Hosts_)
    Each.Steering_->setTargets(Known_, Zones_, Now_);
}

bool ReachSimulation::isCut(const Host &From, std::size_t Target,
                            CutKind Kind) const {
  return From.Cut_ && From.Cut_->Kind_ == Kind &&
         (From.Cut_->Region_.empty() ||
          From.Cut_->Region_ == regionOf(Target, Size_.Regions_));
}

base::Duration ReachSimulation::delay(const Host &From,
                                      std::size_t Target) const {
  return From.Descriptor_.Region_ == regionOf(Target, Size_.Regions_)
             ? base::Duration(1ms)
             : base::Duration(20ms);
}

bool ReachSimulation::takeIdle(Host &From, std::size_t Target,
                               bool Idempotent) {
  std::vector<base::TimePoint> &Idle = From.Idle_[Target];
  const base::Duration Limit = Idempotent ? ReuseIdleLimit : ProvenLifeLimit;
  if (Idle.empty() || Now_ - Idle.back() > Limit)
    return false;
  Idle.pop_back();
  return true;
}

// Time.

void ReachSimulation::schedule(base::Duration After,
                               std::function<void()> Action) {
  Events_.emplace(Now_ + After, std::move(Action));
}

void ReachSimulation::runUntil(base::TimePoint Moment) {
  while (!Events_.empty() && Events_.begin()->first <= Moment) {
    Now_ = Events_.begin()->first;
    const auto Action = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    Action();
  }
  Now_ = Moment;
}

void ReachSimulation::run(double Seconds) {
  const base::TimePoint End = Now_ + base::fromSeconds(Seconds);
  base::TimePoint Next = Now_;
  while (Next < End) {
    runUntil(Next);
    arrive();
    Next += base::fromSeconds(-std::log(1 - base::drawUnit(Random_)) /
                              Size_.PerSecond_);
  }
  runUntil(End);
}

// Requests.

void ReachSimulation::arrive() {
  Attempt Made;
  Made.Host_ = base::drawBelow(Random_, Hosts_.size());
  Made.Idempotent_ = base::drawBelow(Random_, 3) != 0;
  Made.SentAt_ = Now_;
  Attempts_.push_back(Made);
  steering::Request Incoming;
  Incoming.Service_ = base::ServiceId("s");
  Incoming.Rule_ = Made.Idempotent_ ? "lookup" : "booking";
  Incoming.ArrivedAt_ = Now_;
  Incoming.Deadline_ = Now_ + (Made.Idempotent_ ? LookupTime : BookingTime);
  Incoming.Idempotent_ = Made.Idempotent_;
  Incoming.MaxSends_ = 2;
  const std::uint32_t Object = base::drawBelow(Random_, Size_.Objects_);
  Incoming.ObjectHash_ = base::stableHash("object", Object) | 1U;
  Incoming.Fingerprint_ = Object + 1;
  apply(Attempts_.size() - 1, Made.Host_,
        Hosts_[Made.Host_].Steering_->arrive(Incoming, Now_),
        Incoming.Deadline_);
}

void ReachSimulation::apply(std::size_t Tried, std::size_t Number,
                            const Decision &Made, base::TimePoint Deadline) {
  if (Made.Action_ == Decision::Action::Send)
    sendToTarget(Tried, Number, Made, Deadline);
  else
    conclude(Tried, false, Made.Ran_ == steering::Ran::No);
}

void ReachSimulation::sendToTarget(std::size_t Tried, std::size_t Number,
                                   const Decision &Made,
                                   base::TimePoint Deadline) {
  Host &From = Hosts_[Number];
  Send Open;
  Open.Attempt_ = Tried;
  Open.Host_ = Number;
  Open.Target_ = std::stoul(Made.Target_.name().substr(1));
  Open.Ticket_ = Made.Ticket_;
  Open.Deadline_ = Deadline;
  const std::uint64_t Id = ++LastSend_;
  const auto [Stored, Unused] = Sends_.emplace(Id, Open);
  schedule(Deadline - Now_, [this, Id] { end(Id, SendOutcome::Cancelled); });
  if (Made.ResponseDeadline_ < Deadline)
    schedule(std::max(base::Duration(0), Made.ResponseDeadline_ - Now_),
             [this, Id] { timeOut(Id); });
  const bool Kept = takeIdle(From, Open.Target_, Attempts_[Tried].Idempotent_);
  if (Kept) {
    Stored->second.SentAt_ = Now_;
    write(Id);
    return;
  }
  ++Connects_;
  const bool Hangs = isCut(From, Open.Target_, CutKind::Hangs);
  if (Hangs || TargetsDown_ || From.Cut_) {
    const bool Refused = TargetsDown_ ||
                         isCut(From, Open.Target_, CutKind::Resets) ||
                         isCut(From, Open.Target_, CutKind::RefusesNew);
    if (Hangs || Refused) {
      schedule(Refused ? RefusalDelay : ConnectTimeout,
               [this, Id] { end(Id, SendOutcome::ConnectFailed); });
      return;
    }
  }
  schedule(2 * delay(From, Open.Target_), [this, Id] {
    if (const auto Found = Sends_.find(Id); Found != Sends_.end()) {
      Found->second.SentAt_ = Now_;
      write(Id);
    }
  });
}

void ReachSimulation::write(std::uint64_t Id) {
  const auto Found = Sends_.find(Id);
  if (Found == Sends_.end())
    return;
  const Send &Open = Found->second;
  const Host &From = Hosts_[Open.Host_];
  // The request is sent again until the link heals.
  if (isCut(From, Open.Target_, CutKind::Hangs)) {
    schedule(RetransmitPace, [this, Id] { write(Id); });
    return;
  }
  ++Attempts_[Open.Attempt_].Runs_;
  ++Running_[Open.Target_];
  schedule(RunTime + 2 * delay(From, Open.Target_),
           [this, Id, Target = Open.Target_] {
             --Running_[Target];
             answer(Id);
           });
}

void ReachSimulation::answer(std::uint64_t Id) {
  const auto Found = Sends_.find(Id);
  if (Found == Sends_.end())
    return;
  const Send &Open = Found->second;
  if (isCut(Hosts_[Open.Host_], Open.Target_, CutKind::Hangs)) {
    schedule(RetransmitPace, [this, Id] { answer(Id); });
    return;
  }
  Hosts_[Open.Host_].Idle_[Open.Target_].push_back(Now_);
  end(Id, SendOutcome::Answered);
}

void ReachSimulation::timeOut(std::uint64_t Id) {
  const auto Found = Sends_.find(Id);
  if (Found != Sends_.end() &&
      Hosts_[Found->second.Host_].Steering_->mayAbandonSend(
          Found->second.Ticket_, Now_))
    end(Id, SendOutcome::LostBeforeResponse, true);
}

void ReachSimulation::end(std::uint64_t Id, SendOutcome Outcome,
                          bool TimedOut) {
  const auto Found = Sends_.find(Id);
  if (Found == Sends_.end())
    return;
  const Send Open = Found->second;
  Sends_.erase(Found);
  steering::SendReport Report;
  Report.Outcome_ = Outcome;
  Report.TimedOut_ = TimedOut;
  if (Outcome == SendOutcome::Answered) {
    Report.Status_ = 200;
    Report.Took_ = Now_ - Open.SentAt_;
    Report.Load_ = steering::TargetLoad{
        static_cast<std::uint32_t>(Running_[Open.Target_]), 0, Slots};
  }
  std::vector<steering::Wakeup> Woken;
  const Decision Next =
      Hosts_[Open.Host_].Steering_->finish(Open.Ticket_, Report, Now_, Woken);
  if (Outcome == SendOutcome::Answered || Outcome == SendOutcome::Cancelled)
    conclude(Open.Attempt_, Outcome == SendOutcome::Answered, false);
  else
    apply(Open.Attempt_, Open.Host_, Next, Open.Deadline_);
}

void ReachSimulation::conclude(std::size_t Number, bool Served, bool NotRun) {
  Attempts_[Number].EndedAt_ = Now_;
  Attempts_[Number].Served_ = Served;
  Attempts_[Number].RefusedAsNotRun_ = !Served && NotRun;
}

// What was seen.

ReachSimulation::Tally ReachSimulation::tally(
    const std::function<bool(const Attempt &)> &Counted) const {
  Tally Result;
  for (const Attempt &Each : Attempts_)
    if (Each.EndedAt_ && Counted(Each)) {
      ++Result.Sent_;
      Result.Served_ += Each.Served_ ? 1 : 0;
    }
  return Result;
}

int ReachSimulation::brokenPromises() const {
  return static_cast<int>(std::count_if(
      Attempts_.begin(), Attempts_.end(), [](const Attempt &Each) {
        return (!Each.Idempotent_ && Each.Runs_ > 1) ||
               (Each.RefusedAsNotRun_ && Each.Runs_ > 0);
      }));
}

double ReachSimulation::slowestRefusal(base::TimePoint Since) const {
  base::Duration Slowest{};
  for (const Attempt &Each : Attempts_)
    if (Each.RefusedAsNotRun_ && Each.SentAt_ >= Since)
      Slowest = std::max(Slowest, *Each.EndedAt_ - Each.SentAt_);
  return base::toSeconds(Slowest);
}

} // namespace lychee::tests
