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
constexpr base::Duration ProbeInterval = 50ms;
/// Time until what a host tells at once reaches hosts of its region, and of
/// others.
constexpr base::Duration HeartbeatDelay = 5ms;
constexpr base::Duration RegionUpdateDelay = 600ms;
constexpr base::Duration RunTime = 150ms;
constexpr base::Duration FailureTime = 5ms;
constexpr base::Duration ConnectTimeout = 250ms;
constexpr base::Duration RefusalDelay = 1ms;
constexpr base::Duration LookupTime = 1s;
constexpr base::Duration BookingTime = 3s;
constexpr base::Duration ReuseIdleLimit = 5s;
constexpr base::Duration ProvenLifeLimit = 100ms;
/// Time without an answer after which a host takes a connection for silent.
constexpr base::Duration HedgeDelay = 200ms;
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
    dispatch::DispatchCallbacks Callbacks;
    Callbacks.OnReach_ = [this, Index](const dispatch::ReachChange &Change) {
      Hosts_[Index].Unreached_.emplace_back(Now_, !Change.IsReached_);
    };
    Made.Steering_ = std::make_unique<Steering>(
        dispatch::DispatchSettings{
            Made.Descriptor_.Region_, Made.Descriptor_.Zone_, {}, Index + 1},
        std::move(Callbacks), Now_ - 60s);
    Made.Steering_->setIntent(Intent, Now_ - 60s);
    Made.Steering_->setTargets(Known_, Zones_, Now_ - 60s);
  }
  updateAll();
  probeAll();
}

// Hosts and what they know of each other.

bool ReachSimulation::seesUnreached(const base::RegionId &From,
                                    const Host &Seen) const {
  const base::Duration Age =
      From == Seen.Descriptor_.Region_ ? HeartbeatDelay : RegionUpdateDelay;
  bool Unreached = false;
  for (const auto &[At, Lost] : Seen.Unreached_)
    if (At + Age <= Now_)
      Unreached = Lost;
  return Unreached;
}

dispatch::FleetDemand
ReachSimulation::viewFrom(const base::RegionId &Region) const {
  dispatch::FleetDemand Result;
  Result.RegionCount_ = Size_.Regions_;
  Result.HostCount_ = Size_.Hosts_;
  for (const Host &Each : Hosts_) {
    members::HostView View;
    View.Descriptor_ = Each.Descriptor_;
    View.Ready_ = View.Alive_ = View.HoldsShare_ = true;
    View.TargetsUnreached_ = seesUnreached(Region, Each);
    Result.OtherHosts_.push_back(std::move(View));
  }
  return Result;
}

void ReachSimulation::updateAll() {
  for (std::size_t Region = 0; Region < Size_.Regions_; ++Region) {
    dispatch::FleetDemand View = viewFrom(regionOf(Region, Size_.Regions_));
    for (std::size_t Number = Region; Number < Hosts_.size();
         Number += Size_.Regions_) {
      members::HostView &Own = View.OtherHosts_[Number];
      View.Self_ = Own.Descriptor_;
      View.TargetsUnreached_ = !Hosts_[Number].Steering_->reachesTargets();
      Own.Alive_ = Own.HoldsShare_ = false;
      Hosts_[Number].Steering_->updateFleetDemand(View, Now_);
      Own.Alive_ = Own.HoldsShare_ = true;
    }
  }
  schedule(UpdateInterval, [this] { updateAll(); });
}

void ReachSimulation::probeAll() {
  for (std::size_t Number = 0; Number < Hosts_.size(); ++Number)
    for (const steering::TargetProbe &Asked :
         Hosts_[Number].Steering_->probesDue(Now_))
      probe(Number, Asked);
  schedule(ProbeInterval, [this] { probeAll(); });
}

void ReachSimulation::probe(std::size_t Number,
                            const steering::TargetProbe &Asked) {
  ++Connects_;
  const std::size_t Target = std::stoul(Asked.Target_.name().substr(1));
  const std::optional<base::Duration> Failure =
      isCut(Hosts_[Number], Target, CutKind::Closes)
          ? RefusalDelay
          : connectFailure(Hosts_[Number], Target);
  schedule(Failure.value_or(2 * delay(Hosts_[Number], Target)),
           [this, Number, Asked, Target, Connected = !Failure] {
             Host &From = Hosts_[Number];
             From.Steering_->recordProbe(Asked, Connected, Now_);
             if (Connected)
               From.Idle_[Target].push_back(Now_);
           });
}

// Links.

void ReachSimulation::cut(std::size_t Number, CutKind Kind,
                          const base::RegionId &Region) {
  Hosts_[Number].Cut_ = Cut{Kind, Region};
  if (Kind != CutKind::Resets && Kind != CutKind::Closes)
    return;
  Hosts_[Number].Idle_.clear();
  loseSends([&](const Send &Open) {
    return Open.Leg_->Host_ == Number &&
           isCut(Hosts_[Number], Open.Target_, Kind);
  });
}

void ReachSimulation::loseSends(const std::function<bool(const Send &)> &Lost) {
  std::vector<std::uint64_t> All;
  for (const auto &[Id, Open] : Sends_)
    if (Lost(Open))
      All.push_back(Id);
  for (const std::uint64_t Id : All)
    end(Id, SendOutcome::LostBeforeResponse);
}

void ReachSimulation::heal(std::size_t Number) { Hosts_[Number].Cut_.reset(); }

void ReachSimulation::stopTargets() {
  TargetsDown_ = true;
  for (Host &Each : Hosts_)
    Each.Idle_.clear();
  loseSends([](const Send &) { return true; });
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

std::optional<base::Duration>
ReachSimulation::connectFailure(const Host &From, std::size_t Target) const {
  if (isCut(From, Target, CutKind::Hangs))
    return ConnectTimeout;
  if (TargetsDown_ || isCut(From, Target, CutKind::Resets) ||
      isCut(From, Target, CutKind::RefusesNew))
    return RefusalDelay;
  return std::nullopt;
}

void ReachSimulation::degradeTargets(double Factor, std::size_t Group) {
  Slowness_ = Factor;
  FailingGroup_ = Group;
}

bool ReachSimulation::failsAt(std::size_t Target) const {
  return FailingGroup_ > 0 && Target % FailingGroup_ == 0;
}

base::Duration ReachSimulation::runTimeAt(std::size_t Target) const {
  return failsAt(Target)
             ? FailureTime
             : base::fromSeconds(base::toSeconds(RunTime) * Slowness_);
}

base::Duration ReachSimulation::delay(const Host &From,
                                      std::size_t Target) const {
  return From.Descriptor_.Region_ == regionOf(Target, Size_.Regions_)
             ? base::Duration(1ms)
             : base::Duration(20ms);
}

base::Duration ReachSimulation::delay(const Host &From, const Host &To) const {
  return From.Descriptor_.Region_ == To.Descriptor_.Region_
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
  Made.Object_ = base::drawBelow(Random_, Size_.Objects_);
  Made.SentAt_ = Now_;
  Attempts_.push_back(Made);
  Leg First;
  First.Attempt_ = Attempts_.size() - 1;
  First.Host_ = Made.Host_;
  First.Deadline_ = Now_ + (Made.Idempotent_ ? LookupTime : BookingTime);
  start(std::make_shared<Leg>(First), Size_.MaxSends_);
}

void ReachSimulation::start(const LegPointer &Begun, std::uint32_t MaxSends) {
  const Attempt &Asked = Attempts_[Begun->Attempt_];
  steering::Request Incoming;
  Incoming.Service_ = base::ServiceId("s");
  Incoming.Rule_ = Asked.Idempotent_ ? "lookup" : "booking";
  Incoming.ArrivedAt_ = Now_;
  Incoming.Deadline_ = Begun->Deadline_;
  Incoming.Idempotent_ = Asked.Idempotent_;
  Incoming.MaxSends_ = MaxSends;
  Incoming.ObjectHash_ = base::stableHash("object", Asked.Object_) | 1U;
  Incoming.Fingerprint_ = Asked.Object_ + 1;
  if (Begun->From_)
    Incoming.ForwardedBy_ = Hosts_[Begun->From_->Host_].Descriptor_.Host_;
  apply(Begun, Hosts_[Begun->Host_].Steering_->arrive(Incoming, Now_));
}

void ReachSimulation::apply(const LegPointer &Asked, const Decision &Made) {
  if (Made.Action_ != Decision::Action::Send)
    conclude(Asked, {false, Made.Ran_ == steering::Ran::No, Made.Refusal_});
  else if (Made.Host_.empty())
    sendToTarget(Asked, Made);
  else
    forward(Asked, Made);
}

void ReachSimulation::forward(const LegPointer &Asked, const Decision &Made) {
  Leg Next = *Asked;
  Next.Host_ = std::stoul(Made.Address_);
  Next.From_ = Asked;
  Next.FromTicket_ = Made.Ticket_;
  Next.MayHaveRun_ = false;
  Next.Sends_ = 0;
  ++Forwards_;
  begin(std::make_shared<Leg>(Next), Made.SendsLeft_);
}

void ReachSimulation::begin(const LegPointer &Begun, std::uint32_t MaxSends) {
  const base::Duration Way =
      2 * delay(Hosts_[Begun->From_->Host_], Hosts_[Begun->Host_]);
  schedule(Way, [this, Begun, MaxSends] { start(Begun, MaxSends); });
  if (Attempts_[Begun->Attempt_].Idempotent_)
    schedule(Way + HedgeDelay,
             [this, Begun, MaxSends] { hedge(Begun, MaxSends); });
}

void ReachSimulation::hedge(const LegPointer &Silent, std::uint32_t MaxSends) {
  if (Silent->IsOver_ || !Hosts_[Silent->From_->Host_].Steering_->mayHedge(
                             Silent->FromTicket_, Now_))
    return;
  ++ForwardsBrokenOff_;
  Leg Copy = *Silent;
  Copy.Sends_ = 0;
  Silent->IsOver_ = true;
  std::vector<std::uint64_t> Open;
  for (const auto &[Id, Each] : Sends_)
    if (Each.Leg_ == Silent)
      Open.push_back(Id);
  for (const std::uint64_t Id : Open)
    end(Id, SendOutcome::Cancelled);
  begin(std::make_shared<Leg>(Copy), MaxSends);
}

void ReachSimulation::sendToTarget(const LegPointer &Asked,
                                   const Decision &Made) {
  Host &From = Hosts_[Asked->Host_];
  Send Open;
  Open.Leg_ = Asked;
  Open.Target_ = std::stoul(Made.Target_.name().substr(1));
  Open.Ticket_ = Made.Ticket_;
  Open.SentAt_ = Now_;
  const std::uint64_t Id = ++LastSend_;
  Sends_.emplace(Id, Open);
  schedule(std::max(base::Duration(0), Asked->Deadline_ - Now_),
           [this, Id] { end(Id, SendOutcome::Cancelled); });
  if (Made.ResponseDeadline_ < Asked->Deadline_)
    schedule(std::max(base::Duration(0), Made.ResponseDeadline_ - Now_),
             [this, Id] { timeOut(Id); });
  if (takeIdle(From, Open.Target_, Attempts_[Asked->Attempt_].Idempotent_)) {
    write(Id);
    return;
  }
  ++Connects_;
  if (const auto Failure = connectFailure(From, Open.Target_)) {
    schedule(*Failure, [this, Id] { end(Id, SendOutcome::ConnectFailed); });
    return;
  }
  schedule(2 * delay(From, Open.Target_), [this, Id] {
    const auto Found = Sends_.find(Id);
    if (Found == Sends_.end())
      return;
    Found->second.SentAt_ = Now_;
    Found->second.NewConnection_ = true;
    if (isCut(Hosts_[Found->second.Leg_->Host_], Found->second.Target_,
              CutKind::Closes))
      end(Id, SendOutcome::LostBeforeResponse);
    else
      write(Id);
  });
}

void ReachSimulation::write(std::uint64_t Id) {
  const auto Found = Sends_.find(Id);
  if (Found == Sends_.end())
    return;
  const Send &Open = Found->second;
  const Host &From = Hosts_[Open.Leg_->Host_];
  // The request is sent again until the link heals.
  if (isCut(From, Open.Target_, CutKind::Hangs)) {
    schedule(RetransmitPace, [this, Id] { write(Id); });
    return;
  }
  ++Attempts_[Open.Leg_->Attempt_].Runs_;
  Attempts_[Open.Leg_->Attempt_].Targets_.insert(Open.Target_);
  ++Running_[Open.Target_];
  schedule(runTimeAt(Open.Target_) + 2 * delay(From, Open.Target_),
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
  Host &From = Hosts_[Open.Leg_->Host_];
  if (isCut(From, Open.Target_, CutKind::Hangs)) {
    schedule(RetransmitPace, [this, Id] { answer(Id); });
    return;
  }
  From.Idle_[Open.Target_].push_back(Now_);
  end(Id, SendOutcome::Answered);
}

void ReachSimulation::timeOut(std::uint64_t Id) {
  const auto Found = Sends_.find(Id);
  if (Found != Sends_.end() &&
      Hosts_[Found->second.Leg_->Host_].Steering_->mayAbandonSend(
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
  Report.NewConnection_ = Open.NewConnection_;
  if (Outcome == SendOutcome::Answered) {
    Report.Status_ = failsAt(Open.Target_) ? 500 : 200;
    Report.Took_ = Now_ - Open.SentAt_;
    Report.Load_ = steering::TargetLoad{
        static_cast<std::uint32_t>(Running_[Open.Target_]), 0, Slots};
  }
  if (Outcome == SendOutcome::LostBeforeResponse)
    Open.Leg_->MayHaveRun_ = true;
  if (Outcome != SendOutcome::ConnectFailed)
    ++Open.Leg_->Sends_;
  std::vector<steering::Wakeup> Woken;
  const Decision Next = Hosts_[Open.Leg_->Host_].Steering_->finish(
      Open.Ticket_, Report, Now_, Woken);
  const bool IsServed =
      Outcome == SendOutcome::Answered && Report.Status_ == 200;
  const bool IsOver =
      Outcome == SendOutcome::Answered || Outcome == SendOutcome::Cancelled;
  if (IsOver && Next.Action_ != Decision::Action::Send)
    conclude(Open.Leg_, {IsServed, false, {}});
  else
    apply(Open.Leg_, Next);
}

void ReachSimulation::conclude(const LegPointer &Ended, const LegEnd &How) {
  if (Ended->IsOver_)
    return;
  Ended->IsOver_ = true;
  if (Ended->From_) {
    schedule(delay(Hosts_[Ended->Host_], Hosts_[Ended->From_->Host_]),
             [this, Ended, How] { tellForwarder(Ended, How); });
    return;
  }
  Attempt &Tried = Attempts_[Ended->Attempt_];
  Tried.EndedAt_ = Now_;
  Tried.Served_ = How.Served_;
  Tried.RefusedAsNotRun_ = !How.Served_ && How.NotRun_;
}

void ReachSimulation::tellForwarder(const LegPointer &Ended,
                                    const LegEnd &How) {
  const bool ForItself =
      How.NotRun_ && (Ended->From_->MayHaveRun_ ||
                      How.Why_ == steering::Refusal::TargetsUnreached);
  steering::SendReport Report;
  Report.Outcome_ = ForItself ? SendOutcome::Shed : SendOutcome::Answered;
  Report.Status_ = How.Served_ ? 200 : 503;
  Report.HostSends_ = Ended->Sends_;
  std::vector<steering::Wakeup> Woken;
  const Decision Next = Hosts_[Ended->From_->Host_].Steering_->finish(
      Ended->FromTicket_, Report, Now_, Woken);
  if (ForItself)
    apply(Ended->From_, Next);
  else
    conclude(Ended->From_, How);
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

int ReachSimulation::attemptsOverBound() const {
  return static_cast<int>(std::count_if(
      Attempts_.begin(), Attempts_.end(), [this](const Attempt &Each) {
        return Each.Targets_.size() > Size_.MaxSends_;
      }));
}

double ReachSimulation::slowestRefusal(base::TimePoint Since) const {
  base::Duration Slowest{};
  for (const Attempt &Each : Attempts_)
    if (Each.RefusedAsNotRun_ && Each.SentAt_ >= Since)
      Slowest = std::max(Slowest, Each.EndedAt_.value_or(Now_) - Each.SentAt_);
  return base::toSeconds(Slowest);
}

} // namespace lychee::tests
