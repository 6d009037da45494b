#include "steering/RegionPool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace lychee::steering {

namespace {

/// Before a donor is asked once more: about the round trip between regions, so
/// that an ask is not repeated while its answer is on the way.
constexpr base::Duration AskAgainAfar = std::chrono::milliseconds(50);
/// The same within a region.
constexpr base::Duration AskAgainNear = std::chrono::milliseconds(5);
/// Share of its slots that a host of the region does not give to hosts of
/// others: the region's own callers come at random, and each slot given away
/// is 20 ms from coming back.
constexpr double KeptFromAfar = 0.2;

} // namespace

RegionPool::RegionPool(const base::RegionId &Region, const base::HostId &Self,
                       const admission::AdmissionControl::Limits &Limits)
    : Self_(Self), Region_(Region), Targets_(Self), Line_(Limits),
      Slots_(Self) {}

void RegionPool::applyIntent(const settings::Intent &Intent,
                             std::span<const settings::Target> Targets,
                             base::TimePoint Now) {
  std::vector<placement::TargetSpec> Specs;
  for (const settings::Target &Declared : Targets) {
    Specs.push_back({Declared.Id_, Declared.Slots_, Declared.Leaving_});
    Addresses_[Declared.Id_] = Declared.Address_;
  }
  Targets_.setTargets(Specs, Now);
  Slots_.setTargets(Specs);
  refreshShares();
  // A customer that is gone keeps its number: requests of it may still wait.
  for (const auto &[Id, Customer] : Intent.Customers_)
    Customers_[Id] = Line_.registerCustomer(Id, Customer.Weight_);
}

std::optional<admission::CustomerIndex>
RegionPool::customer(const base::CustomerId &Customer) const {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return std::nullopt;
  return Found->second;
}

void RegionPool::enterEpoch(std::uint64_t Epoch,
                            std::span<const Member> Members) {
  std::vector<base::HostId> All;
  std::vector<base::HostId> Near;
  std::map<base::HostId, Peer> Old = std::exchange(Peers_, {});
  for (const Member &Each : Members) {
    All.push_back(Each.Host_);
    if (Each.Region_ == Region_)
      Near.push_back(Each.Host_);
    if (Each.Host_ == Self_) {
      IsNear_ = Each.Region_ == Region_;
      continue;
    }
    Peers_[Each.Host_] = Old[Each.Host_];
    Peers_[Each.Host_].Region_ = Each.Region_;
  }
  Slots_.enterEpoch(Epoch, Near.empty() ? All : Near, All);
  refreshShares();
}

void RegionPool::settle(std::uint64_t Epoch) {
  Slots_.settle(Epoch);
  refreshShares();
}

void RegionPool::refreshShares() {
  if (!Slots_.divides())
    return;
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    const std::int64_t Kept = Kept_.contains(Name) ? 1 : 0;
    Targets_.setSlotShare(
        Target, static_cast<std::uint32_t>(
                    std::max<std::int64_t>(0, Slots_.held(Name) - Kept)));
  }
}

void RegionPool::upkeep(base::TimePoint Now) {
  const auto Ended = std::erase_if(
      Kept_, [Now](const auto &Each) { return Each.second <= Now; });
  if (Ended > 0)
    refreshShares();
}

bool RegionPool::fits() const {
  return std::ranges::all_of(
      Targets_.active(), [this](placement::TargetIndex Target) {
        const base::TargetId &Name = Targets_.idOf(Target);
        const std::int64_t InUse = Targets_.inFlight(Target);
        return InUse <= std::max<std::int64_t>(0, Slots_.held(Name)) &&
               InUse <= Slots_.heldOnceSettled(Name);
      });
}

std::uint32_t RegionPool::spare(base::TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const placement::TargetIndex Target : Targets_.active())
    Sum += Targets_.freeSlots(Target, Now);
  return Sum;
}

void RegionPool::heardSpare(const base::HostId &Host, const SpareSlots &Told,
                            base::TimePoint Now) {
  const auto Known = Peers_.find(Host);
  if (Known == Peers_.end())
    return;
  Known->second.Spare_ = Told.Free_;
  Known->second.Used_ = Told.InUse_;
  SpareHeardAt_ = Now;
}

std::uint32_t RegionPool::peersSpare() const noexcept {
  std::uint32_t Sum = 0;
  for (const auto &[Host, Each] : Peers_)
    Sum += Each.Spare_;
  return Sum;
}

bool RegionPool::mayAsk(const Peer &Each, base::TimePoint Now) const noexcept {
  const bool Near = Each.Region_ == Region_;
  if (Now - Each.AskedAt_ < (Near ? AskAgainNear : AskAgainAfar))
    return false;
  if (Each.Spare_ > 0)
    return true;
  // Where nothing is free, hosts of other regions give back, and those of this
  // one who have most share with those who have least.
  return IsNear_ &&
         Each.Used_ > (Near ? 2 * Targets_.ownInFlightTotal() + 1 : 0);
}

bool RegionPool::isBetterDonor(const Peer &Each,
                               const Peer *Best) const noexcept {
  if (!Best)
    return true;
  const auto Rank = [this](const Peer &Ranked) {
    return std::tuple(Ranked.Spare_ > 0, Ranked.Region_ == Region_,
                      Ranked.Spare_, Ranked.Used_);
  };
  return Rank(Each) > Rank(*Best);
}

RegionPool::Peer *RegionPool::bestDonor(base::TimePoint Now,
                                        base::HostId &Donor) {
  Peer *Best = nullptr;
  for (auto &[Host, Each] : Peers_) {
    if (!mayAsk(Each, Now) || !isBetterDonor(Each, Best))
      continue;
    Best = &Each;
    Donor = Host;
  }
  return Best;
}

void RegionPool::addAsks(std::vector<SlotRequest> &Asks, base::TimePoint Now) {
  if (!Slots_.divides())
    return;
  addRecalls(Asks, Now);
  std::uint32_t Missing =
      static_cast<std::uint32_t>(Line_.queued()) + std::exchange(Wanted_, 0);
  base::HostId Donor;
  while (Missing > 0) {
    Peer *Best = bestDonor(Now, Donor);
    if (!Best)
      return;
    const std::uint32_t Slots = std::min(Missing, std::max(1U, Best->Spare_));
    Best->AskedAt_ = Now;
    Best->Spare_ -= std::min(Best->Spare_, Slots);
    Missing -= Slots;
    SlotRequest Ask;
    Ask.Requester_ = Self_;
    Ask.Donor_ = Donor;
    Ask.Region_ = Region_;
    Ask.Slots_ = Slots;
    Ask.RequesterInUse_ = Targets_.ownInFlightTotal();
    Asks.push_back(Ask);
  }
}

void RegionPool::addRecalls(std::vector<SlotRequest> &Asks,
                            base::TimePoint Now) {
  if (Peers_.empty() || Now - RecalledAt_ < AskAgainAfar)
    return;
  // One peer at a time: two that gave would leave this host with a slot that a
  // lost host may still use.
  const auto Donor = std::next(
      Peers_.begin(), static_cast<std::ptrdiff_t>(Recalls_ % Peers_.size()));
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    if (Slots_.heldOnceSettled(Name) >= 0)
      continue;
    RecalledAt_ = Now;
    SlotRequest Ask;
    Ask.Requester_ = Self_;
    Ask.Donor_ = Donor->first;
    Ask.Region_ = Region_;
    Ask.Slots_ = 1;
    Ask.RecallTarget_ = Name;
    Asks.push_back(Ask);
  }
  if (RecalledAt_ == Now)
    ++Recalls_;
}

std::uint32_t RegionPool::mayGive(const SlotRequest &Asked,
                                  base::TimePoint Now) const {
  const std::uint32_t Free = spare(Now);
  if (goesFirst(Asked))
    return std::min(Asked.Slots_, Free);
  if (Line_.queued() > 0)
    return 0;
  if (Asked.RequesterRegion_ == Region_)
    return std::min(Asked.Slots_, (Free + 1) / 2);
  std::int64_t Held = 0;
  for (const placement::TargetIndex Target : Targets_.active())
    Held += std::max<std::int64_t>(0, Slots_.held(Targets_.idOf(Target)));
  const auto Kept = static_cast<std::uint32_t>(
      std::lround(KeptFromAfar * static_cast<double>(Held)));
  return Free > Kept ? std::min(Asked.Slots_, Free - Kept) : 0;
}

bool RegionPool::goesFirst(const SlotRequest &Asked) const noexcept {
  // A region's slots are its own hosts' first: steered work that kept them
  // while its own line stands would leave the region's callers waiting for
  // room that other regions' callers use.
  const bool AskerNear = Asked.RequesterRegion_ == Region_;
  return AskerNear && (!IsNear_ || 2 * Asked.RequesterInUse_ + 1 <
                                       Targets_.ownInFlightTotal());
}

std::vector<SlotCount> RegionPool::give(const SlotRequest &Asked,
                                        base::TimePoint Now) {
  std::vector<SlotCount> Told;
  if (!Peers_.contains(Asked.Requester_))
    return Told;
  const bool Recall = !Asked.RecallTarget_.empty();
  if (Recall || (spare(Now) == 0 && goesFirst(Asked)))
    return giveKept(Asked, Now);
  std::uint32_t Left = mayGive(Asked, Now);
  for (const placement::TargetIndex Target : Targets_.active()) {
    const std::uint32_t Given = std::min(Left, Targets_.freeSlots(Target, Now));
    if (Given > 0)
      Told.push_back(
          Slots_.give(Asked.Requester_, Targets_.idOf(Target), Given));
    Left -= Given;
  }
  refreshShares();
  return Told;
}

std::vector<SlotCount> RegionPool::giveKept(const SlotRequest &Asked,
                                            base::TimePoint Now) {
  // Long enough for the peer to ask again, and no longer: the slot is idle.
  const bool Near = Asked.RequesterRegion_ == Region_;
  const base::Duration KeepTime = Near ? 4 * AskAgainNear : 2 * AskAgainAfar;
  placement::TargetIndex Busiest = 0;
  std::int64_t MostHeld = 0;
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    if (!Asked.RecallTarget_.empty() && Name != Asked.RecallTarget_)
      continue;
    // What comes back from a lost host can pay a debt before it may be used.
    const std::int64_t Held = Asked.RecallTarget_.empty()
                                  ? Slots_.held(Name)
                                  : Slots_.heldOnceSettled(Name);
    if (Held > Targets_.inFlight(Target)) {
      Kept_.erase(Name);
      const SlotCount Given = Slots_.give(Asked.Requester_, Name, 1);
      refreshShares();
      return {Given};
    }
    if (Held > MostHeld) {
      MostHeld = Held;
      Busiest = Target;
    }
  }
  // None is free: the next one that ends is kept for the asker.
  if (MostHeld > 0)
    Kept_[Targets_.idOf(Busiest)] = Now + KeepTime;
  refreshShares();
  return {};
}

bool RegionPool::accept(const base::HostId &Donor,
                        std::span<const SlotCount> Told) {
  bool Gained = false;
  for (const SlotCount &Count : Told)
    Gained = Slots_.accept(Donor, Count) || Gained;
  refreshShares();
  return Gained;
}

} // namespace lychee::steering
