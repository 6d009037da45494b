#include "steering/ServiceSteering.h"

#include <algorithm>

namespace lychee::steering {

namespace {

using Trust = placement::PoolState::Trust;

/// Share of a region's slots that requests steered in from other regions leave
/// free: the region's own callers arrive at random times, and each slot that
/// steered requests take beyond this makes one of them wait.
constexpr double ReservedForOwnCallers = 0.1;

/// Assumed round trip between two regions without a declared link: long, so
/// that such a region comes last.
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

RegionPool *ServiceSteering::homePool(const PendingRequest &Pending,
                                      base::TimePoint Now) {
  RegionPool *Lost = nullptr;
  for (const base::RegionId &Region : Pending.Request_.PreferredRegions_) {
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
                                                const PendingRequest &Pending,
                                                base::TimePoint Now) {
  std::span<const placement::TargetIndex> Excluded;
  if (Pending.Sends_ > 0 && Pending.Pool_ == &Pool)
    Excluded = {&Pending.SentTo_, 1};
  return Pool.targets().choose(Excluded, Now, Random_);
}

bool ServiceSteering::hasHeadroom(const RegionPool &Pool,
                                  base::TimePoint Now) const noexcept {
  const placement::PoolState State = Pool.targets().state(Now);
  return State.InFlight_ + 1 <= (1 - ReservedForOwnCallers) * State.Slots_;
}

std::optional<ServiceSteering::PoolChoice> ServiceSteering::chooseOtherRegion(
    const PendingRequest &Pending, RegionPool &Home, base::Duration Wait,
    base::TimePoint Now, std::string_view &ReasonText) {
  std::vector<PoolChoice> Choices{{&Home, {}}};
  std::vector<placement::RegionOption> Options(1);
  Options.front().UsableTargets_ = Home.targets().state(Now).UsableTargets_;
  Options.front().ExpectedWait_ = Wait;
  for (const base::RegionId &Region : Pending.Request_.PreferredRegions_) {
    RegionPool *Pool = poolOf(Region);
    if (!Pool || Pool == &Home)
      continue;
    PoolChoice Candidate{Pool, {}};
    placement::RegionOption Option;
    Option.UsableTargets_ = Pool->targets().state(Now).UsableTargets_;
    Option.RoundTrip_ = roundTrip(Home.region(), Region);
    // Where slots are divided, the slots that this host holds there are its
    // share of the region's headroom.
    Option.HasHeadroom_ = Pool->dividesSlots() || hasHeadroom(*Pool, Now);
    if (Option.HasHeadroom_ && Pool->admission().queued() == 0)
      Candidate.Choice_ = choose(*Pool, Pending, Now);
    Option.HasFreeSlot_ = Candidate.Choice_.Target_.has_value();
    const bool WorthIt =
        Wait > placement::RegionChooser::WaitFactor * Option.RoundTrip_;
    if (!Option.HasFreeSlot_ && Pool->dividesSlots() && WorthIt)
      Pool->setSpillDemand(1);
    Choices.push_back(Candidate);
    Options.push_back(Option);
  }
  const placement::RegionChoice Chosen =
      placement::RegionChooser::choose(Options);
  ReasonText = Chosen.Reason_;
  if (!Chosen.Region_ || *Chosen.Region_ == 0)
    return std::nullopt;
  return Choices[*Chosen.Region_];
}

void ServiceSteering::spillWaiting(base::TimePoint Now,
                                   std::vector<Wakeup> &Wakeups) {
  for (const auto &[HomeId, Home] : Pools_) {
    if (Home->admission().queued() == 0)
      continue;
    std::vector<RegionPool *> Others;
    for (const auto &[Id, Pool] : Pools_)
      if (Pool != Home)
        Others.push_back(Pool.get());
    std::ranges::sort(Others, {}, [&](const RegionPool *Pool) {
      return roundTrip(HomeId, Pool->region());
    });
    for (RegionPool *Other : Others)
      spillFrom(*Home, *Other, Now, Wakeups);
  }
}

void ServiceSteering::spillFrom(RegionPool &Home, RegionPool &Other,
                                base::TimePoint Now,
                                std::vector<Wakeup> &Wakeups) {
  /// Maximum number of slots requested per call; the next call is one tick
  /// away.
  constexpr std::size_t MaxSlotsPerCall = 8;
  const base::Duration WorthIt = placement::RegionChooser::WaitFactor *
                                 roundTrip(Home.region(), Other.region());
  const auto Wait = [&] {
    return Home.admission().expectedWork() * Home.admission().queued() /
           std::max(1U, Home.admission().running());
  };
  std::vector<admission::DroppedRequest> Expired;
  while (Wait() > WorthIt && Other.admission().queued() == 0) {
    if (!Other.dividesSlots() && !hasHeadroom(Other, Now))
      break;
    PoolChoice Chosen{&Other, Other.targets().choose({}, Now, Random_)};
    if (!Chosen.Choice_.Target_)
      break;
    const auto Next = Home.admission().dequeue(Now, Expired);
    if (!Next)
      break;
    PendingRequest &First = Pending_.at(Next->Ticket_);
    // The request leaves this region's queue for another region, so this queue
    // is charged nothing.
    Home.admission().recordCompletion(Next->Customer_, Next->Caller_,
                                      Next->Work_, {}, false, Now);
    const auto Verdict =
        admitElsewhere(Next->Ticket_, First, Chosen, Now, "spill-waited");
    Wakeups.push_back({Next->Ticket_, Verdict});
    if (Verdict.Action_ == Decision::Action::Refuse)
      Pending_.erase(Next->Ticket_);
  }
  refuseExpired(Expired, Wakeups);
  if (Other.dividesSlots() && Wait() > WorthIt)
    Other.setSpillDemand(static_cast<std::uint32_t>(
        std::min(MaxSlotsPerCall, Home.admission().queued())));
}

} // namespace lychee::steering
