#include "steering/ServiceSteering.h"

#include <algorithm>

namespace lychee::steering {

namespace {

using Trust = placement::PoolState::Trust;

/// Share of a region's slots that work steered in from elsewhere leaves free:
/// the region's own callers come at random, and each slot that steered work
/// takes beyond this makes one of them wait.
constexpr double ReservedForOwnCallers = 0.1;

/// Round trip between two regions without a declared link: long, so that such
/// a region comes last.
constexpr base::Duration UnknownRoundTrip = std::chrono::milliseconds(200);

} // namespace

RegionPool *ServiceSteering::poolOf(const base::RegionId &Region) const {
  const auto Known = Pools_.find(Region);
  return Known == Pools_.end() ? nullptr : Known->second.get();
}

base::Duration ServiceSteering::roundTrip(const base::RegionId &From,
                                          const base::RegionId &To) const {
  if (From == To)
    return {};
  const auto Known = RoundTrips_.find({From, To});
  return Known == RoundTrips_.end() ? UnknownRoundTrip : Known->second;
}

RegionPool *ServiceSteering::homeOf(const Pending &Wanted,
                                    base::TimePoint Now) {
  RegionPool *Lost = nullptr;
  for (const base::RegionId &Region : Wanted.Request_.PreferredRegions_) {
    RegionPool *Pool = poolOf(Region);
    if (!Pool)
      continue;
    const placement::PoolState State = Pool->targets().state(Now);
    if (State.Trust_ != Trust::Lost && State.UsableTargets_ > 0)
      return Pool;
    if (!Lost && State.Trust_ == Trust::Lost)
      Lost = Pool;
  }
  return Lost;
}

placement::TargetChoice ServiceSteering::choose(RegionPool &Pool,
                                                const Pending &Wanted,
                                                base::TimePoint Now) {
  std::span<const placement::TargetIndex> Excluded;
  if (Wanted.Sends_ > 0 && Wanted.Pool_ == &Pool)
    Excluded = {&Wanted.SentTo_, 1};
  return Pool.targets().choose(Excluded, Now, Random_);
}

bool ServiceSteering::hasHeadroom(const RegionPool &Pool,
                                  base::TimePoint Now) const noexcept {
  const placement::PoolState State = Pool.targets().state(Now);
  return State.InFlight_ + 1 <= (1 - ReservedForOwnCallers) * State.Slots_;
}

std::optional<ServiceSteering::Found>
ServiceSteering::elsewhere(const Pending &Wanted, RegionPool &Home,
                           base::Duration Wait, base::TimePoint Now,
                           std::string_view &Why) {
  std::vector<Found> Places{{&Home, {}}};
  std::vector<placement::RegionOption> Options(1);
  Options.front().UsableTargets_ = Home.targets().state(Now).UsableTargets_;
  Options.front().ExpectedWait_ = Wait;
  for (const base::RegionId &Region : Wanted.Request_.PreferredRegions_) {
    RegionPool *Pool = poolOf(Region);
    if (!Pool || Pool == &Home)
      continue;
    Found Place{Pool, {}};
    placement::RegionOption Option;
    Option.UsableTargets_ = Pool->targets().state(Now).UsableTargets_;
    Option.RoundTrip_ = roundTrip(Home.region(), Region);
    // Where slots are divided, those that this host holds there are its part
    // of the region's headroom.
    Option.HasHeadroom_ = Pool->divides() || hasHeadroom(*Pool, Now);
    if (Option.HasHeadroom_ && Pool->line().queued() == 0)
      Place.Choice_ = choose(*Pool, Wanted, Now);
    Option.HasFreeSlot_ = Place.Choice_.Target_.has_value();
    const bool WorthIt =
        Wait > placement::RegionChooser::WaitFactor * Option.RoundTrip_;
    if (!Option.HasFreeSlot_ && Pool->divides() && WorthIt)
      Pool->want(1);
    Places.push_back(Place);
    Options.push_back(Option);
  }
  const placement::RegionChoice Chosen =
      placement::RegionChooser::choose(Options);
  Why = Chosen.Reason_;
  if (!Chosen.Region_ || *Chosen.Region_ == 0)
    return std::nullopt;
  return Places[*Chosen.Region_];
}

void ServiceSteering::spillWaiting(base::TimePoint Now,
                                   std::vector<Wakeup> &Woken) {
  for (const auto &[HomeId, Home] : Pools_) {
    if (Home->line().queued() == 0)
      continue;
    std::vector<RegionPool *> Others;
    for (const auto &[Id, Pool] : Pools_)
      if (Pool != Home)
        Others.push_back(Pool.get());
    std::ranges::sort(Others, {}, [&](const RegionPool *Pool) {
      return roundTrip(HomeId, Pool->region());
    });
    for (RegionPool *Other : Others)
      spillFrom(*Home, *Other, Now, Woken);
  }
}

void ServiceSteering::spillFrom(RegionPool &Home, RegionPool &Other,
                                base::TimePoint Now,
                                std::vector<Wakeup> &Woken) {
  /// Most slots that one look asks for; the next look is a tick away.
  constexpr std::size_t MostWanted = 8;
  const base::Duration WorthIt = placement::RegionChooser::WaitFactor *
                                 roundTrip(Home.region(), Other.region());
  const auto Wait = [&] {
    return Home.line().expectedWork() * Home.line().queued() /
           std::max(1U, Home.line().running());
  };
  std::vector<admission::DroppedRequest> Left;
  while (Wait() > WorthIt && Other.line().queued() == 0) {
    if (!Other.divides() && !hasHeadroom(Other, Now))
      break;
    Found Where{&Other, Other.targets().choose({}, Now, Random_)};
    if (!Where.Choice_.Target_)
      break;
    const auto Next = Home.line().dequeue(Now, Left);
    if (!Next)
      break;
    Pending &First = Pending_.at(Next->Ticket_);
    // It waited here and will run there: this line is charged nothing.
    Home.line().recordCompletion(Next->Customer_, Next->Caller_, Next->Work_,
                                 {}, false, Now);
    const auto Verdict =
        enterElsewhere(Next->Ticket_, First, Where, Now, "spill-waited");
    Woken.push_back({Next->Ticket_, Verdict});
    if (Verdict.Action_ == Decision::Action::Refuse)
      Pending_.erase(Next->Ticket_);
  }
  giveUp(Left, Woken);
  if (Other.divides() && Wait() > WorthIt)
    Other.want(
        static_cast<std::uint32_t>(std::min(MostWanted, Home.line().queued())));
}

} // namespace lychee::steering
