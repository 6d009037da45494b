#include "steering/SlotTable.h"

#include "placement/HomeSlots.h"

#include <algorithm>
#include <utility>

namespace lychee::steering {

void SlotTable::setTargets(std::span<const placement::TargetSpec> Targets) {
  std::map<base::TargetId, TargetSlots> Old = std::exchange(Targets_, {});
  for (const placement::TargetSpec &Spec : Targets) {
    TargetSlots &Kept = Targets_[Spec.Id_];
    const auto Known = Old.find(Spec.Id_);
    if (Known != Old.end())
      Kept = std::move(Known->second);
    Kept.Slots_ = Spec.Leaving_ ? 0 : Spec.Slots_;
    assignHomeSlots(Spec.Id_, Kept);
    // In an epoch that has not settled, other hosts may already use a target
    // that is new to this host: a host that has just started knows no targets.
    if (Settled_)
      Kept.PreviousHomeSlots_ = Kept.HomeSlots_;
    Kept.PreviousHomeSlots_ = std::min(Kept.PreviousHomeSlots_, Kept.Slots_);
  }
}

void SlotTable::assignHomeSlots(const base::TargetId &Target,
                                TargetSlots &Assigned) const {
  const bool IsOwner = std::ranges::find(Owners_, Self_) != Owners_.end();
  std::vector<placement::HostWeight> Others;
  for (const base::HostId &Owner : Owners_)
    if (Owner != Self_)
      Others.push_back({Owner, 1});
  // Equal weights, because all hosts must compute the same division; demand
  // moves slots afterwards.
  Assigned.HomeSlots_ = IsOwner ? placement::homeSlots(Target, Assigned.Slots_,
                                                       {Self_, 1}, Others)
                                : 0;
}

bool SlotTable::isMember(const base::HostId &Host) const noexcept {
  return std::ranges::find(Members_, Host) != Members_.end();
}

void SlotTable::enterEpoch(std::uint64_t Epoch,
                           std::span<const base::HostId> Owners,
                           std::span<const base::HostId> Members) {
  if (Epoch <= Epoch_)
    return;
  Epoch_ = Epoch;
  Settled_ = false;
  Owners_.assign(Owners.begin(), Owners.end());
  Members_.assign(Members.begin(), Members.end());
  for (auto &[Target, State] : Targets_) {
    State.PreviousHomeSlots_ =
        std::min(State.PreviousHomeSlots_, State.HomeSlots_);
    assignHomeSlots(Target, State);
    // Slots that a lost host granted beyond those it received are its own home
    // slots, which are divided anew: they are given up at once. Slots that it
    // received beyond those it granted may still be in use there; they return
    // when the epoch has settled.
    std::uint32_t GrantedToLost = 0;
    std::erase_if(State.Grants_, [&](const auto &Kept) {
      if (isMember(Kept.first))
        return false;
      const GrantCounts &Counts = Kept.second;
      if (Counts.Granted_ > Counts.Received_)
        GrantedToLost += Counts.Granted_ - Counts.Received_;
      return true;
    });
    State.GrantedToLost_ += GrantedToLost;
  }
}

void SlotTable::settle(std::uint64_t Epoch) {
  if (Epoch != Epoch_ || Settled_)
    return;
  Settled_ = true;
  for (auto &[Target, State] : Targets_) {
    State.PreviousHomeSlots_ = State.HomeSlots_;
    State.GrantedToLost_ = 0;
  }
}

std::int64_t SlotTable::heldSlots(const base::TargetId &Target) const {
  const auto Known = Targets_.find(Target);
  if (Known == Targets_.end())
    return 0;
  const TargetSlots &State = Known->second;
  std::int64_t Held = std::min(State.PreviousHomeSlots_, State.HomeSlots_);
  Held -= State.GrantedToLost_;
  for (const auto &[Host, Counts] : State.Grants_)
    Held += static_cast<std::int64_t>(Counts.Received_) - Counts.Granted_;
  // A target that has fewer slots than before, or is leaving, provides no more
  // than it has, whatever was granted.
  return std::min<std::int64_t>(Held, State.Slots_);
}

std::int64_t SlotTable::heldAfterSettling(const base::TargetId &Target) const {
  const auto Known = Targets_.find(Target);
  if (Known == Targets_.end())
    return 0;
  std::int64_t Held = Known->second.HomeSlots_;
  for (const auto &[Host, Counts] : Known->second.Grants_)
    Held += static_cast<std::int64_t>(Counts.Received_) - Counts.Granted_;
  return Held;
}

SlotCount SlotTable::grant(const base::HostId &Receiver,
                           const base::TargetId &Target, std::uint32_t Slots) {
  GrantCounts &Counts = Targets_[Target].Grants_[Receiver];
  Counts.Granted_ += Slots;
  return {Target, Counts.Granted_};
}

bool SlotTable::acceptGrant(const base::HostId &Donor, const SlotCount &Count) {
  const auto Known = Targets_.find(Count.Target_);
  if (Known == Targets_.end() || !isMember(Donor) || Donor == Self_)
    return false;
  GrantCounts &Counts = Known->second.Grants_[Donor];
  if (Count.TotalGranted_ <= Counts.Received_)
    return false;
  Counts.Received_ = Count.TotalGranted_;
  return true;
}

std::vector<SlotCount>
SlotTable::grantedTo(const base::HostId &Receiver) const {
  std::vector<SlotCount> Granted;
  for (const auto &[Target, State] : Targets_) {
    const auto Known = State.Grants_.find(Receiver);
    if (Known != State.Grants_.end() && Known->second.Granted_ > 0)
      Granted.push_back({Target, Known->second.Granted_});
  }
  return Granted;
}

std::vector<base::HostId>
SlotTable::netDonors(const base::TargetId &Target) const {
  std::vector<base::HostId> Found;
  const auto Known = Targets_.find(Target);
  if (Known == Targets_.end())
    return Found;
  for (const auto &[Host, Counts] : Known->second.Grants_)
    if (Counts.Received_ > Counts.Granted_)
      Found.push_back(Host);
  return Found;
}

} // namespace lychee::steering
