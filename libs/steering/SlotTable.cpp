#include "steering/SlotTable.h"

#include "placement/HomeSlots.h"

#include <algorithm>
#include <utility>

namespace lychee::steering {

void SlotTable::setTargets(std::span<const placement::TargetSpec> Targets) {
  std::map<base::TargetId, Entry> Old = std::exchange(Entries_, {});
  for (const placement::TargetSpec &Spec : Targets) {
    Entry &Kept = Entries_[Spec.Id_];
    const auto Known = Old.find(Spec.Id_);
    if (Known != Old.end())
      Kept = std::move(Known->second);
    Kept.Slots_ = Spec.Leaving_ ? 0 : Spec.Slots_;
    divide(Spec.Id_, Kept);
    // In an epoch that has not settled, a target that is new to this host may
    // be in use by others: a host that has just started knows none.
    if (Settled_)
      Kept.OldHome_ = Kept.NewHome_;
    Kept.OldHome_ = std::min(Kept.OldHome_, Kept.Slots_);
  }
}

void SlotTable::divide(const base::TargetId &Target, Entry &Divided) const {
  const bool IsOwner = std::ranges::find(Owners_, Self_) != Owners_.end();
  std::vector<placement::HostWeight> Others;
  for (const base::HostId &Owner : Owners_)
    if (Owner != Self_)
      Others.push_back({Owner, 1});
  // Equal weights: all hosts must come to the same division, and demand moves
  // slots afterwards.
  Divided.NewHome_ =
      IsOwner ? placement::homeSlots(Target, Divided.Slots_, {Self_, 1}, Others)
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
  for (auto &[Target, Each] : Entries_) {
    Each.OldHome_ = std::min(Each.OldHome_, Each.NewHome_);
    divide(Target, Each);
    // What a lost host gave beyond what it got belongs to its slots, which are
    // divided anew: it is given up at once. What it got beyond what it gave may
    // be in use there, and comes back when the epoch has settled.
    std::uint32_t GivenToLost = 0;
    std::erase_if(Each.Pairs_, [&](const auto &Kept) {
      if (isMember(Kept.first))
        return false;
      const Pair &Counts = Kept.second;
      if (Counts.Given_ > Counts.Received_)
        GivenToLost += Counts.Given_ - Counts.Received_;
      return true;
    });
    Each.GivenToLost_ += GivenToLost;
  }
}

void SlotTable::settle(std::uint64_t Epoch) {
  if (Epoch != Epoch_ || Settled_)
    return;
  Settled_ = true;
  for (auto &[Target, Each] : Entries_) {
    Each.OldHome_ = Each.NewHome_;
    Each.GivenToLost_ = 0;
  }
}

std::int64_t SlotTable::held(const base::TargetId &Target) const {
  const auto Known = Entries_.find(Target);
  if (Known == Entries_.end())
    return 0;
  const Entry &Each = Known->second;
  std::int64_t Held = std::min(Each.OldHome_, Each.NewHome_);
  Held -= Each.GivenToLost_;
  for (const auto &[Host, Counts] : Each.Pairs_)
    Held += static_cast<std::int64_t>(Counts.Received_) - Counts.Given_;
  // A target with fewer slots than before, or leaving, gives no more than it
  // has, whatever was given around.
  return std::min<std::int64_t>(Held, Each.Slots_);
}

std::int64_t SlotTable::heldOnceSettled(const base::TargetId &Target) const {
  const auto Known = Entries_.find(Target);
  if (Known == Entries_.end())
    return 0;
  std::int64_t Held = Known->second.NewHome_;
  for (const auto &[Host, Counts] : Known->second.Pairs_)
    Held += static_cast<std::int64_t>(Counts.Received_) - Counts.Given_;
  return Held;
}

SlotCount SlotTable::give(const base::HostId &Receiver,
                          const base::TargetId &Target, std::uint32_t Slots) {
  Pair &Counts = Entries_[Target].Pairs_[Receiver];
  Counts.Given_ += Slots;
  return {Target, Counts.Given_};
}

bool SlotTable::accept(const base::HostId &Donor, const SlotCount &Told) {
  const auto Known = Entries_.find(Told.Target_);
  if (Known == Entries_.end() || !isMember(Donor) || Donor == Self_)
    return false;
  Pair &Counts = Known->second.Pairs_[Donor];
  if (Told.TotalGranted_ <= Counts.Received_)
    return false;
  Counts.Received_ = Told.TotalGranted_;
  return true;
}

std::vector<SlotCount> SlotTable::givenTo(const base::HostId &Receiver) const {
  std::vector<SlotCount> Given;
  for (const auto &[Target, Each] : Entries_) {
    const auto Known = Each.Pairs_.find(Receiver);
    if (Known != Each.Pairs_.end() && Known->second.Given_ > 0)
      Given.push_back({Target, Known->second.Given_});
  }
  return Given;
}

std::vector<base::HostId>
SlotTable::creditors(const base::TargetId &Target) const {
  std::vector<base::HostId> Found;
  const auto Known = Entries_.find(Target);
  if (Known == Entries_.end())
    return Found;
  for (const auto &[Host, Counts] : Known->second.Pairs_)
    if (Counts.Received_ > Counts.Given_)
      Found.push_back(Host);
  return Found;
}

} // namespace lychee::steering
