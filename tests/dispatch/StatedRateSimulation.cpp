#include "dispatch/StatedRateSimulation.h"

#include "base/Hash.h"
#include "support/RateWindows.h"

#include <algorithm>
#include <cmath>

namespace lychee::tests {

using namespace std::chrono_literals;
using steering::Decision;

namespace {

constexpr base::Duration HeartbeatDelay = 500ms;
/// Time until what representatives tell reaches all hosts of another region.
constexpr base::Duration RegionUpdateDelay = 600ms;
constexpr base::Duration AnnounceInterval = 500ms;
constexpr base::Duration UpdateInterval = 200ms;
constexpr base::Duration TickInterval = 10ms;
constexpr base::Duration RunTime = 150ms;
constexpr base::Duration TurnAwayTime = 5ms;
constexpr base::Duration RequestDeadline = 1s;
constexpr std::uint32_t Slots = 3;

base::RegionId regionOf(std::size_t Number, std::size_t Regions) {
  return base::RegionId("region-" + std::to_string(Number % Regions));
}

} // namespace

StatedRateSimulation::StatedRateSimulation(const StatedRateFleet &Size,
                                           std::uint64_t Seed)
    : Size_(Size), Random_(Seed), Hosts_(Size.Hosts_), Targets_(Size.Targets_) {
  auto Intent = std::make_shared<live::Intent>();
  Intent->Version_ = 1;
  live::ServiceRule &Rule = Intent->Services_[base::ServiceId("s")];
  Rule.Id_ = base::ServiceId("s");
  Rule.ColdRatePerSecond_ = ColdPerSecond;
  Intent_ = Intent;
  for (std::size_t Index = 0; Index < Size.Targets_; ++Index) {
    live::KnownTarget Made;
    Made.Record_.Id_ = base::TargetId("t" + std::to_string(Index));
    Made.Record_.Service_ = base::ServiceId("s");
    Made.Record_.Zone_ =
        base::ZoneId(regionOf(Index, Size.Regions_).name() + "-a");
    Made.Record_.Slots_ = Slots;
    Made.Record_.Started_ = 1;
    Zones_[Made.Record_.Zone_] = regionOf(Index, Size.Regions_);
    Known_.push_back(Made);
  }
  for (std::size_t Index = 0; Index < Size.Hosts_; ++Index) {
    members::HostDescriptor &Own = Hosts_[Index].Descriptor_;
    Own.Host_ = base::HostId("host-" + std::to_string(Index));
    Own.Region_ = regionOf(Index, Size.Regions_);
    Own.Zone_ = base::ZoneId(Own.Region_.name() + "-a");
    Own.Address_ = std::to_string(Index);
    start(Index);
    // They have been up for long.
    Hosts_[Index].UpSince_ = Now_ - 60s;
    update(Index);
  }
  tickAll();
  announceAll();
}

void StatedRateSimulation::start(std::size_t Number) {
  Host &Self = Hosts_[Number];
  ++Self.Start_;
  Self.UpSince_ = Now_;
  Self.Frozen_ = false;
  dispatch::DispatchCallbacks Callbacks;
  Callbacks.RequestToken_ = [this, Number](const std::string &Owner,
                                           std::uint64_t Ticket,
                                           const auto &Wanted) {
    requestToken(Number, Owner, Ticket, Wanted);
  };
  Self.Steering_ = std::make_shared<Steering>(
      dispatch::DispatchSettings{
          Self.Descriptor_.Region_, Self.Descriptor_.Zone_, {}, Number + 1},
      std::move(Callbacks), Now_);
  Self.Steering_->setIntent(Intent_, Now_);
  Self.Steering_->setTargets(Known_, Zones_, Now_);
  const int Start = Self.Start_;
  // Hosts are not in step with each other.
  const base::Duration First = base::fromSeconds(
      base::toSeconds(UpdateInterval) * base::drawUnit(Random_));
  schedule(First, [this, Number, Start] {
    if (Hosts_[Number].Start_ == Start)
      update(Number);
  });
}

// Hosts and what they know of each other.

bool StatedRateSimulation::hears(const Host &Listener,
                                 const Host &Speaker) const {
  const auto IsStillHeard = [this](const Host &Each) {
    return Now_ - Each.SilentSince_.value_or(Now_) <
           members::HostTable::AliveFor;
  };
  if (Listener.CutOff_)
    return IsStillHeard(Listener);
  if (Now_ - Listener.UpSince_ < HeartbeatDelay ||
      Now_ - Speaker.UpSince_ < HeartbeatDelay)
    return false;
  return IsStillHeard(Speaker);
}

dispatch::FleetDemand StatedRateSimulation::viewOf(std::size_t Number) const {
  const Host &Self = Hosts_[Number];
  dispatch::FleetDemand Result;
  Result.Self_ = Self.Descriptor_;
  Result.RegionCount_ = Size_.Regions_;
  Result.HostCount_ = Size_.Hosts_;
  std::size_t Alive = 0;
  for (const Host &Other : Hosts_) {
    if (&Other == &Self)
      continue;
    members::HostView View;
    View.Descriptor_ = Other.Descriptor_;
    View.Ready_ = true;
    View.Alive_ = hears(Self, Other);
    View.HoldsShare_ = View.Alive_;
    Alive += View.Alive_ ? 1 : 0;
    Result.OtherHosts_.push_back(std::move(View));
  }
  Result.IsCutOff_ = Self.CutOff_ && Alive == 0;
  return Result;
}

void StatedRateSimulation::update(std::size_t Number) {
  Host &Self = Hosts_[Number];
  if (!Self.Frozen_)
    Self.Steering_->updateFleetDemand(viewOf(Number), Now_);
  const int Start = Self.Start_;
  schedule(UpdateInterval, [this, Number, Start] {
    if (Hosts_[Number].Start_ == Start)
      update(Number);
  });
}

void StatedRateSimulation::restart(std::size_t Number) { start(Number); }

void StatedRateSimulation::wake(std::size_t Number) {
  Hosts_[Number].Frozen_ = false;
}

void StatedRateSimulation::cutOff(std::size_t Number) {
  Hosts_[Number].CutOff_ = true;
  Hosts_[Number].SilentSince_ = Now_;
}

void StatedRateSimulation::reconnect(std::size_t Number) {
  Hosts_[Number].CutOff_ = false;
  Hosts_[Number].SilentSince_.reset();
}

void StatedRateSimulation::state(std::size_t Index,
                                 std::optional<double> PerSecond) {
  Targets_[Index].Statements_.push_back({Now_, PerSecond});
}

void StatedRateSimulation::makeCold(double Seconds) {
  for (live::KnownTarget &Known : Known_)
    Known.ColdUntil_ = Now_ + base::fromSeconds(Seconds);
  for (const Host &Each : Hosts_)
    Each.Steering_->setTargets(Known_, Zones_, Now_);
}

void StatedRateSimulation::startTarget(std::size_t Index) {
  Targets_[Index].Leaving_ = false;
  Targets_[Index].LeavingToldAt_.clear();
  ++Known_[Index].Record_.Started_;
  restoreEntries();
}

void StatedRateSimulation::dropEntries() {
  for (const Host &Each : Hosts_)
    Each.Steering_->setTargets({}, Zones_, Now_);
}

void StatedRateSimulation::restoreEntries() {
  for (const Host &Each : Hosts_)
    Each.Steering_->setTargets(Known_, Zones_, Now_);
}

// Announcements.

void StatedRateSimulation::tell(std::size_t Number, const News &Said,
                                bool OwnRegion, base::Duration Delay) {
  if (Said.empty())
    return;
  const int Start = Hosts_[Number].Start_;
  schedule(Delay, [this, Number, Start, Said, OwnRegion] {
    if (!isReachable(Hosts_[Number], Start))
      return;
    Steering &Listener = *Hosts_[Number].Steering_;
    Listener.mergeTargetRates(Said.Rates_, OwnRegion, Now_);
    Listener.mergeTargetLeavings(Said.Leavings_, OwnRegion, Now_);
  });
}

void StatedRateSimulation::announceAll() {
  std::set<base::RegionId> Told;
  for (const Host &Speaker : Hosts_) {
    if (Speaker.CutOff_ || Speaker.Frozen_)
      continue;
    const base::RegionId &Region = Speaker.Descriptor_.Region_;
    const News Own = {Speaker.Steering_->announcedRates(Now_),
                      Speaker.Steering_->announcedLeavings(Now_)};
    // The first host of a region that is heard represents it.
    News Relayed;
    if (Told.insert(Region).second)
      Relayed = {Speaker.Steering_->relayedRates(Now_),
                 Speaker.Steering_->relayedLeavings(Now_)};
    for (std::size_t Number = 0; Number < Hosts_.size(); ++Number) {
      const bool Same = Hosts_[Number].Descriptor_.Region_ == Region;
      tell(Number, Same ? Own : Relayed, Same,
           Same ? base::Duration(1ms) : RegionUpdateDelay);
    }
  }
  schedule(AnnounceInterval, [this] { announceAll(); });
}

// Time.

void StatedRateSimulation::schedule(base::Duration After,
                                    std::function<void()> Action) {
  Events_.emplace(Now_ + After, std::move(Action));
}

void StatedRateSimulation::runUntil(base::TimePoint Moment) {
  while (!Events_.empty() && Events_.begin()->first <= Moment) {
    Now_ = Events_.begin()->first;
    const auto Action = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    Action();
  }
  Now_ = Moment;
}

void StatedRateSimulation::run(double Seconds) {
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

void StatedRateSimulation::tickAll() {
  std::set<std::size_t> Due;
  for (const auto &[Number, Ticket] : Waiting_)
    Due.insert(Number);
  for (const std::size_t Number : Due) {
    if (Hosts_[Number].Frozen_)
      continue;
    std::vector<steering::Wakeup> Woken;
    Hosts_[Number].Steering_->tick(Now_, Woken);
    for (const steering::Wakeup &Each : Woken) {
      Waiting_.erase({Number, Each.Ticket_});
      apply(Number, Each.Decision_);
    }
  }
  schedule(TickInterval, [this] { tickAll(); });
}

// Requests.

void StatedRateSimulation::arrive() {
  const std::size_t Number = base::drawBelow(Random_, Hosts_.size());
  if (Hosts_[Number].Frozen_)
    return;
  ++Sent_;
  steering::Request Incoming;
  Incoming.Service_ = base::ServiceId("s");
  Incoming.Rule_ = "rule";
  Incoming.ArrivedAt_ = Now_;
  Incoming.Deadline_ = Now_ + RequestDeadline;
  Incoming.Idempotent_ = true;
  Incoming.MaxSends_ = 2;
  Incoming.ObjectHash_ =
      base::stableHash("object", base::drawBelow(Random_, Size_.Objects_)) | 1U;
  apply(Number, Hosts_[Number].Steering_->arrive(Incoming, Now_));
}

void StatedRateSimulation::apply(std::size_t Number, const Decision &Made) {
  if (Made.Action_ == Decision::Action::Wait) {
    Waiting_.insert({Number, Made.Ticket_});
    return;
  }
  if (Made.Action_ == Decision::Action::Refuse) {
    ++Refused_;
    RetryAfters_.push_back(base::toSeconds(Made.RetryAfter_));
    return;
  }
  const std::size_t Where = std::stoul(Made.Target_.name().substr(1));
  Target &Server = Targets_[Where];
  const int Start = Hosts_[Number].Start_;
  const auto Told = Server.ToldAt_.find({Number, Start});
  Server.Arrivals_.push_back(
      {Now_,
       Told != Server.ToldAt_.end() && Told->second + HearingTime <= Now_,
       {Number, Start}});
  ++Server.Running_;
  schedule(Server.RestSeconds_ ? TurnAwayTime : RunTime,
           [this, Number, Start, Ticket = Made.Ticket_, Where, SentAt = Now_] {
             answer(Number, Start, Ticket, Where, SentAt);
           });
}

steering::TargetStatement
StatedRateSimulation::statementTo(std::pair<std::size_t, int> Asker,
                                  Target &Server) {
  steering::TargetStatement Said;
  if (!Server.Statements_.empty())
    Said.Rate_.PerSecond_ = Server.Statements_.back().PerSecond_;
  if (Said.Rate_.PerSecond_) {
    Server.ToldAt_.try_emplace(Asker, Now_);
    if (!Server.FirstStated_)
      Server.FirstStated_ = Now_;
  }
  if (Server.RestSeconds_) {
    Said.Rest_.For_ = base::fromSeconds(*Server.RestSeconds_);
    Server.Rests_.push_back({Asker, Now_, Now_ + *Said.Rest_.For_});
  }
  Said.Leaving_ = Server.Leaving_;
  if (Said.Leaving_)
    Server.LeavingToldAt_.try_emplace(Asker, Now_);
  return Said;
}

void StatedRateSimulation::answer(std::size_t Number, int Start,
                                  std::uint64_t Ticket, std::size_t Where,
                                  base::TimePoint SentAt) {
  Target &Server = Targets_[Where];
  --Server.Running_;
  if (Hosts_[Number].Start_ != Start)
    return;
  steering::AnswerHead Head;
  Head.NotRun_ = Server.RestSeconds_.has_value();
  Head.Status_ = Head.NotRun_ ? 503 : 200;
  Head.Took_ = Now_ - SentAt;
  Head.Statement_ = statementTo({Number, Start}, Server);
  Hosts_[Number].Steering_->recordAnswerHead(Ticket, Head, Now_);
  steering::SendReport Report;
  Report.Outcome_ = Head.NotRun_ ? steering::SendOutcome::Shed
                                 : steering::SendOutcome::Answered;
  Report.Status_ = Head.Status_;
  Report.Took_ = Head.Took_;
  Report.Load_ = steering::TargetLoad{Server.Running_, 0, Slots};
  Report.Statement_ = Head.Statement_;
  std::vector<steering::Wakeup> Woken;
  const Decision Next =
      Hosts_[Number].Steering_->finish(Ticket, Report, Now_, Woken);
  if (Head.NotRun_)
    apply(Number, Next);
}

// Tokens.

base::Duration StatedRateSimulation::delay(const Host &From,
                                           const Host &To) const {
  return From.Descriptor_.Region_ == To.Descriptor_.Region_ ? 1ms : 20ms;
}

bool StatedRateSimulation::isReachable(const Host &Either, int Start) const {
  return !Either.CutOff_ && !Either.Frozen_ && Either.Start_ == Start;
}

template <typename Wanted>
void StatedRateSimulation::requestToken(std::size_t Asker,
                                        const std::string &Owner,
                                        std::uint64_t Ticket,
                                        const Wanted &Token) {
  const std::size_t Asked = std::stoul(Owner);
  const int AskerStart = Hosts_[Asker].Start_;
  const int OwnerStart = Hosts_[Asked].Start_;
  const base::Duration Way = delay(Hosts_[Asker], Hosts_[Asked]);
  if (!isReachable(Hosts_[Asker], AskerStart))
    return;
  schedule(Way, [=, this] {
    if (!isReachable(Hosts_[Asked], OwnerStart))
      return;
    const auto Wait = Hosts_[Asked].Steering_->grantToken(Token, Now_);
    schedule(Way, [=, this] {
      if (!isReachable(Hosts_[Asker], AskerStart))
        return;
      std::vector<steering::Wakeup> Woken;
      Hosts_[Asker].Steering_->handleTokenResponse(Ticket, Wait, Now_, Woken);
      for (const steering::Wakeup &Each : Woken) {
        Waiting_.erase({Asker, Each.Ticket_});
        apply(Asker, Each.Decision_);
      }
    });
  });
}

// What was seen.

/// The highest rate stated around a window counts: what was sent before a
/// change may arrive after it.
double StatedRateSimulation::allowedAt(const Target &Subject,
                                       base::TimePoint Moment) const {
  double Highest = 0;
  for (std::size_t Index = 0; Index < Subject.Statements_.size(); ++Index) {
    const bool Last = Index + 1 == Subject.Statements_.size();
    const bool Applies = Subject.Statements_[Index].Since_ <= Moment &&
                         (Last || Subject.Statements_[Index + 1].Since_ >=
                                      Moment - RateWindow - HearingTime);
    if (Applies)
      Highest = std::max(
          Highest, Subject.Statements_[Index].PerSecond_.value_or(HUGE_VAL));
  }
  return allowedInWindow(Highest);
}

double StatedRateSimulation::worstExcess(std::size_t Index,
                                         bool OnlyTold) const {
  const auto &Subject = Targets_[Index];
  double Worst = -HUGE_VAL;
  if (!Subject.FirstStated_)
    return Worst;
  const base::TimePoint First = *Subject.FirstStated_ + RateSettlingTime;
  for (const Arrival &Last : Subject.Arrivals_) {
    if (Last.At_ < First + RateWindow)
      continue;
    const auto Count =
        std::count_if(Subject.Arrivals_.begin(), Subject.Arrivals_.end(),
                      [&](const Arrival &Each) {
                        return Each.At_ > Last.At_ - RateWindow &&
                               Each.At_ <= Last.At_ &&
                               (Each.Told_ || !OnlyTold);
                      });
    Worst = std::max(Worst, double(Count) - allowedAt(Subject, Last.At_));
  }
  return Worst;
}

double StatedRateSimulation::rateAt(std::size_t Index, double Seconds) const {
  const base::TimePoint Begin = Now_ - base::fromSeconds(Seconds);
  const auto &Arrivals = Targets_[Index].Arrivals_;
  return double(std::count_if(
             Arrivals.begin(), Arrivals.end(),
             [Begin](const Arrival &Each) { return Each.At_ > Begin; })) /
         Seconds;
}

int StatedRateSimulation::mostInARest(std::size_t Index) const {
  const Target &Subject = Targets_[Index];
  std::ptrdiff_t Most = 0;
  for (const Rest &Asked : Subject.Rests_)
    Most = std::max(
        Most, std::count_if(Subject.Arrivals_.begin(), Subject.Arrivals_.end(),
                            [&Asked](const Arrival &Each) {
                              return Each.Host_ == Asked.Host_ &&
                                     Each.At_ >
                                         Asked.Since_ + RestHearingTime &&
                                     Each.At_ < Asked.Until_;
                            }));
  return static_cast<int>(Most);
}

int StatedRateSimulation::sentToLeaving(std::size_t Index, double Seconds,
                                        bool SameHost) const {
  const Target &Subject = Targets_[Index];
  base::TimePoint First = base::TimePoint::max();
  for (const auto &[Asker, At] : Subject.LeavingToldAt_)
    First = std::min(First, At);
  const auto IsLate = [&](const Arrival &Each) {
    const auto Told = Subject.LeavingToldAt_.find(Each.Host_);
    if (SameHost && Told == Subject.LeavingToldAt_.end())
      return false;
    return Each.At_ - (SameHost ? Told->second : First) >
           base::fromSeconds(Seconds);
  };
  return static_cast<int>(std::count_if(Subject.Arrivals_.begin(),
                                        Subject.Arrivals_.end(), IsLate));
}

int StatedRateSimulation::mostInASecond(std::size_t Index,
                                        double Seconds) const {
  const base::TimePoint Begin = Now_ - base::fromSeconds(Seconds);
  const auto &Arrivals = Targets_[Index].Arrivals_;
  std::ptrdiff_t Most = 0;
  for (const Arrival &Last : Arrivals)
    if (Last.At_ > Begin)
      Most = std::max(Most, std::count_if(Arrivals.begin(), Arrivals.end(),
                                          [&](const Arrival &Each) {
                                            return Each.At_ > Begin &&
                                                   Each.At_ > Last.At_ - 1s &&
                                                   Each.At_ <= Last.At_;
                                          }));
  return static_cast<int>(Most);
}

} // namespace lychee::tests
