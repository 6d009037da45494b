#include "dispatch/RegionSplit.h"

#include "base/Hash.h"
#include "dispatch/ObjectOrder.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// Seeds that make the draw for leaving and the draw for where to go
/// independent of each other and of the order of targets.
constexpr std::uint64_t LeavingSeed = 0x6c65617665ULL;

bool allows(const std::vector<base::RegionId> *Homes,
            const base::RegionId &Region) {
  return Homes == nullptr ||
         std::find(Homes->begin(), Homes->end(), Region) != Homes->end();
}

/// \returns a number of (0, 1) that is the same for an object at all hosts.
double drawFor(std::uint64_t Object) noexcept {
  return std::exp(-1 / placeOf(Object, LeavingSeed, 1));
}

/// \returns the slots that bound requests leave to those that may run anywhere.
double freeSlots(const RegionLoad &Load) noexcept {
  return std::max(0.0,
                  Load.Slots_ - Load.Bound_ / RegionSplit::BoundUtilization);
}

double sumOf(const std::map<base::RegionId, double> &Parts) {
  double Sum = 0;
  for (const auto &[Region, Part] : Parts)
    Sum += Part;
  return Sum;
}

} // namespace

RegionSplit::Wanted
RegionSplit::work(const std::map<base::RegionId, RegionLoad> &Loads) const {
  double Slots = 0;
  double Demand = 0;
  for (const auto &[Region, Load] : Loads) {
    Slots += freeSlots(Load);
    Demand += Load.Demand_;
  }
  Wanted Made;
  const auto Own = Loads.find(Own_);
  if (Slots <= 0 || Own == Loads.end())
    return Made;
  // Before there is demand to go by, callers are taken to be spread evenly and
  // all slots to be needed.
  const bool Known = Demand > 0;
  const double Even = Slots / static_cast<double>(Loads.size());
  const double Kept = Known ? std::max(KeptUtilization, Demand / Slots) : 1.0;
  for (const auto &[Region, Load] : Loads) {
    const double Asked = Known ? Load.Demand_ : Even;
    const double Room = Kept * freeSlots(Load) - Asked;
    if (Region == Own_)
      Made.Leaving_ = Asked > 0 ? std::clamp(-Room / Asked, 0.0, 1.0) : 0;
    else if (Room > 0)
      Made.Spare_[Region] = Room;
  }
  // Nobody else has room: what stays at least saves the way.
  if (sumOf(Made.Spare_) <= 0 && freeSlots(Own->second) > 0)
    Made.Leaving_ = 0;
  return Made;
}

void RegionSplit::update(const std::map<base::RegionId, RegionLoad> &Loads,
                         base::TimePoint Now) {
  const Wanted Aim = work(Loads);
  std::map<base::RegionId, double> Slots;
  for (const auto &[Region, Load] : Loads)
    Slots[Region] = Load.Slots_;
  double Changed = 0;
  for (const auto &[Region, Count] : Slots)
    Changed += std::abs(Count - Slots_[Region]);
  const bool Large = Changed > LargeChange * sumOf(Slots);
  Slots_ = std::move(Slots);
  if (!Updated_) {
    Updated_ = Now;
    Leaving_ = Aim.Leaving_;
    Spare_ = Aim.Spare_;
    return;
  }
  if (Large)
    FastUntil_ = Now + FastTime;
  const double Step =
      base::toSeconds(Now - *Updated_) * (Now < FastUntil_ ? FastPace : Pace);
  Updated_ = Now;
  Leaving_ += std::clamp(Aim.Leaving_ - Leaving_, -Step, Step);
  // Where it goes moves at the same pace; a region without room is left to the
  // estimate of each target's load.
  const double Sum = sumOf(Aim.Spare_);
  if (Sum <= 0)
    return;
  std::map<base::RegionId, double> Next;
  const double Before = std::max(sumOf(Spare_), 1e-9);
  for (const auto &[Region, Count] : Slots_) {
    if (Region == Own_)
      continue;
    const auto To = Aim.Spare_.find(Region);
    const double Wish = To == Aim.Spare_.end() ? 0 : To->second / Sum;
    const double Had = Spare_.contains(Region) ? Spare_[Region] / Before : Wish;
    Next[Region] = Had + std::clamp(Wish - Had, -Step, Step);
  }
  Spare_ = std::move(Next);
}

base::RegionId
RegionSplit::regionFor(std::uint64_t Object, std::uint64_t BodyBytes,
                       const std::vector<base::RegionId> *Homes) const {
  const double Part =
      Leaving_ * (BodyBytes > LargeBodyBytes ? LargeBodyPart : 1);
  if (allows(Homes, Own_) && drawFor(Object) >= Part)
    return Own_;
  const std::map<base::RegionId, double> &Weights =
      allows(Homes, Own_) ? Spare_ : Slots_;
  base::RegionId Chosen = Own_;
  double Highest = -1;
  for (const auto &[Region, Weight] : Weights) {
    if (Weight <= 0 || !allows(Homes, Region))
      continue;
    const double Place =
        placeOf(Object, base::stableHash(Region.name()), Weight);
    if (Place > Highest) {
      Highest = Place;
      Chosen = Region;
    }
  }
  return Chosen;
}

} // namespace lychee::dispatch
