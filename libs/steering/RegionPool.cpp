#include "steering/RegionPool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace lychee::steering {

namespace {

/// Time before the same donor is sent another request: about the round trip
/// between regions, so that a request is not repeated while its answer is on
/// the way.
constexpr base::Duration RemoteRequestInterval = std::chrono::milliseconds(50);
/// The same within a region.
constexpr base::Duration LocalRequestInterval = std::chrono::milliseconds(5);
/// Share of its slots that a host of the region does not grant to hosts of
/// other regions: the region's own callers arrive at random times, and a
/// granted slot takes 20 ms to return.
constexpr double LocalReserveShare = 0.2;

} // namespace

RegionPool::RegionPool(const base::RegionId &Region, const base::HostId &Self,
                       const admission::AdmissionControl::Limits &Limits)
    : Self_(Self), Region_(Region), Targets_(Self), Admission_(Limits),
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
  // A removed customer keeps its index: its requests may still wait.
  for (const auto &[Id, Customer] : Intent.Customers_)
    Customers_[Id] = Admission_.registerCustomer(Id, Customer.Weight_);
}

std::optional<admission::CustomerIndex>
RegionPool::customerIndex(const base::CustomerId &Customer) const {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return std::nullopt;
  return Found->second;
}

void RegionPool::enterEpoch(std::uint64_t Epoch,
                            std::span<const Member> Members) {
  std::vector<base::HostId> All;
  std::vector<base::HostId> Local;
  std::map<base::HostId, Peer> Old = std::exchange(Peers_, {});
  for (const Member &Joining : Members) {
    All.push_back(Joining.Host_);
    if (Joining.Region_ == Region_)
      Local.push_back(Joining.Host_);
    if (Joining.Host_ == Self_) {
      IsLocal_ = Joining.Region_ == Region_;
      continue;
    }
    Peers_[Joining.Host_] = Old[Joining.Host_];
    Peers_[Joining.Host_].Region_ = Joining.Region_;
  }
  Slots_.enterEpoch(Epoch, Local.empty() ? All : Local, All);
  refreshShares();
}

void RegionPool::settle(std::uint64_t Epoch) {
  Slots_.settle(Epoch);
  refreshShares();
}

void RegionPool::refreshShares() {
  if (!Slots_.dividesSlots())
    return;
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    const std::int64_t Kept = Reserved_.contains(Name) ? 1 : 0;
    Targets_.setSlotShare(
        Target, static_cast<std::uint32_t>(
                    std::max<std::int64_t>(0, Slots_.heldSlots(Name) - Kept)));
  }
}

void RegionPool::expireReservations(base::TimePoint Now) {
  const auto Ended = std::erase_if(Reserved_, [Now](const auto &Reservation) {
    return Reservation.second <= Now;
  });
  if (Ended > 0)
    refreshShares();
}

bool RegionPool::conformsToEpoch() const {
  return std::ranges::all_of(
      Targets_.active(), [this](placement::TargetIndex Target) {
        const base::TargetId &Name = Targets_.idOf(Target);
        const std::int64_t InUse = Targets_.inFlight(Target);
        return InUse <= std::max<std::int64_t>(0, Slots_.heldSlots(Name)) &&
               InUse <= Slots_.heldAfterSettling(Name);
      });
}

std::uint32_t RegionPool::freeSlots(base::TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const placement::TargetIndex Target : Targets_.active())
    Sum += Targets_.freeSlots(Target, Now);
  return Sum;
}

void RegionPool::receiveSpareSlots(const base::HostId &Host,
                                   const SpareSlots &Update,
                                   base::TimePoint Now) {
  const auto Known = Peers_.find(Host);
  if (Known == Peers_.end())
    return;
  Known->second.FreeSlots_ = Update.Free_;
  Known->second.InUse_ = Update.InUse_;
  PeersFreeSlotsAt_ = Now;
}

std::uint32_t RegionPool::peersFreeSlots() const noexcept {
  std::uint32_t Sum = 0;
  for (const auto &[Host, Candidate] : Peers_)
    Sum += Candidate.FreeSlots_;
  return Sum;
}

bool RegionPool::mayRequestFrom(const Peer &Candidate,
                                base::TimePoint Now) const noexcept {
  const bool Local = Candidate.Region_ == Region_;
  if (Now - Candidate.RequestedAt_ <
      (Local ? LocalRequestInterval : RemoteRequestInterval))
    return false;
  if (Candidate.FreeSlots_ > 0)
    return true;
  // A host of the region may send a request to a peer without free slots: hosts
  // of other regions return slots, and hosts of this region share if they have
  // more than twice as many in use.
  return IsLocal_ &&
         Candidate.InUse_ > (Local ? 2 * Targets_.ownInFlightTotal() + 1 : 0);
}

bool RegionPool::isBetterDonor(const Peer &Candidate,
                               const Peer *Best) const noexcept {
  if (!Best)
    return true;
  const auto Rank = [this](const Peer &Ranked) {
    return std::tuple(Ranked.FreeSlots_ > 0, Ranked.Region_ == Region_,
                      Ranked.FreeSlots_, Ranked.InUse_);
  };
  return Rank(Candidate) > Rank(*Best);
}

RegionPool::Peer *RegionPool::bestDonor(base::TimePoint Now,
                                        base::HostId &Donor) {
  Peer *Best = nullptr;
  for (auto &[Host, Candidate] : Peers_) {
    if (!mayRequestFrom(Candidate, Now) || !isBetterDonor(Candidate, Best))
      continue;
    Best = &Candidate;
    Donor = Host;
  }
  return Best;
}

void RegionPool::addSlotRequests(std::vector<SlotRequest> &Requests,
                                 base::TimePoint Now) {
  if (!Slots_.dividesSlots())
    return;
  addRecallRequests(Requests, Now);
  std::uint32_t Missing = static_cast<std::uint32_t>(Admission_.queued()) +
                          std::exchange(SpillDemand_, 0);
  base::HostId Donor;
  while (Missing > 0) {
    Peer *Best = bestDonor(Now, Donor);
    if (!Best)
      return;
    const std::uint32_t Slots =
        std::min(Missing, std::max(1U, Best->FreeSlots_));
    Best->RequestedAt_ = Now;
    Best->FreeSlots_ -= std::min(Best->FreeSlots_, Slots);
    Missing -= Slots;
    SlotRequest Request;
    Request.Requester_ = Self_;
    Request.Donor_ = Donor;
    Request.Region_ = Region_;
    Request.Slots_ = Slots;
    Request.RequesterInUse_ = Targets_.ownInFlightTotal();
    Requests.push_back(Request);
  }
}

void RegionPool::addRecallRequests(std::vector<SlotRequest> &Requests,
                                   base::TimePoint Now) {
  if (Peers_.empty() || Now - LastRecall_ < RemoteRequestInterval)
    return;
  // One peer at a time: if two peers granted a slot, this host would have a
  // surplus slot that a lost host may still use.
  const auto Donor =
      std::next(Peers_.begin(),
                static_cast<std::ptrdiff_t>(RecallCount_ % Peers_.size()));
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    if (Slots_.heldAfterSettling(Name) >= 0)
      continue;
    LastRecall_ = Now;
    SlotRequest Request;
    Request.Requester_ = Self_;
    Request.Donor_ = Donor->first;
    Request.Region_ = Region_;
    Request.Slots_ = 1;
    Request.RecallTarget_ = Name;
    Requests.push_back(Request);
  }
  if (LastRecall_ == Now)
    ++RecallCount_;
}

std::uint32_t RegionPool::grantableSlots(const SlotRequest &Request,
                                         base::TimePoint Now) const {
  const std::uint32_t Free = freeSlots(Now);
  if (hasPriority(Request))
    return std::min(Request.Slots_, Free);
  if (Admission_.queued() > 0)
    return 0;
  if (Request.RequesterRegion_ == Region_)
    return std::min(Request.Slots_, (Free + 1) / 2);
  std::int64_t Held = 0;
  for (const placement::TargetIndex Target : Targets_.active())
    Held += std::max<std::int64_t>(0, Slots_.heldSlots(Targets_.idOf(Target)));
  const auto Kept = static_cast<std::uint32_t>(
      std::lround(LocalReserveShare * static_cast<double>(Held)));
  return Free > Kept ? std::min(Request.Slots_, Free - Kept) : 0;
}

bool RegionPool::hasPriority(const SlotRequest &Request) const noexcept {
  // Hosts of a region have priority for its slots: if steered requests kept
  // them because their own host's queue is not empty, the region's callers
  // would wait for slots that callers of other regions use.
  const bool IsRequesterLocal = Request.RequesterRegion_ == Region_;
  return IsRequesterLocal && (!IsLocal_ || 2 * Request.RequesterInUse_ + 1 <
                                               Targets_.ownInFlightTotal());
}

std::vector<SlotCount> RegionPool::grant(const SlotRequest &Request,
                                         base::TimePoint Now) {
  std::vector<SlotCount> Grants;
  if (!Peers_.contains(Request.Requester_))
    return Grants;
  const bool IsRecall = !Request.RecallTarget_.empty();
  if (IsRecall || (freeSlots(Now) == 0 && hasPriority(Request)))
    return grantOrReserve(Request, Now);
  std::uint32_t Left = grantableSlots(Request, Now);
  for (const placement::TargetIndex Target : Targets_.active()) {
    const std::uint32_t Given = std::min(Left, Targets_.freeSlots(Target, Now));
    if (Given > 0)
      Grants.push_back(
          Slots_.grant(Request.Requester_, Targets_.idOf(Target), Given));
    Left -= Given;
  }
  refreshShares();
  return Grants;
}

std::vector<SlotCount> RegionPool::grantOrReserve(const SlotRequest &Request,
                                                  base::TimePoint Now) {
  // Long enough for the peer to request again, and no longer, because the slot
  // stays idle.
  const bool Local = Request.RequesterRegion_ == Region_;
  const base::Duration ReservationTime =
      Local ? 4 * LocalRequestInterval : 2 * RemoteRequestInterval;
  placement::TargetIndex Busiest = 0;
  std::int64_t MaxHeld = 0;
  for (const placement::TargetIndex Target : Targets_.active()) {
    const base::TargetId &Name = Targets_.idOf(Target);
    if (!Request.RecallTarget_.empty() && Name != Request.RecallTarget_)
      continue;
    // A slot that returns from a lost host when the epoch settles can settle a
    // deficit before it may be used.
    const std::int64_t Held = Request.RecallTarget_.empty()
                                  ? Slots_.heldSlots(Name)
                                  : Slots_.heldAfterSettling(Name);
    if (Held > Targets_.inFlight(Target)) {
      Reserved_.erase(Name);
      const SlotCount Given = Slots_.grant(Request.Requester_, Name, 1);
      refreshShares();
      return {Given};
    }
    if (Held > MaxHeld) {
      MaxHeld = Held;
      Busiest = Target;
    }
  }
  // No slot is free: the next one to become free is reserved for the requester.
  if (MaxHeld > 0)
    Reserved_[Targets_.idOf(Busiest)] = Now + ReservationTime;
  refreshShares();
  return {};
}

bool RegionPool::acceptGrants(const base::HostId &Donor,
                              std::span<const SlotCount> Counts) {
  bool Gained = false;
  for (const SlotCount &Count : Counts)
    Gained = Slots_.acceptGrant(Donor, Count) || Gained;
  refreshShares();
  return Gained;
}

} // namespace lychee::steering
