#include "dispatch/RegionSplit.h"

#include "base/Hash.h"
#include "dispatch/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// Seed that makes the draw for leaving independent of the choice of the
/// destination and of the order of targets.
constexpr std::uint64_t SpilloverSeed = 0x6c65617665ULL;

bool allows(const std::vector<base::RegionId> *Homes,
            const base::RegionId &Region) {
  return Homes == nullptr ||
         std::find(Homes->begin(), Homes->end(), Region) != Homes->end();
}

/// \returns a number in (0, 1) that is the same for an object at all hosts.
double uniformDraw(std::uint64_t Object) noexcept {
  return std::exp(-1 / rendezvousScore(Object, SpilloverSeed, 1));
}

/// \returns the slots that bound requests leave to those that may run in any
/// region.
double freeSlots(const RegionLoad &Load) noexcept {
  return std::max(0.0, Load.Slots_ -
                           Load.BoundDemand_ / RegionSplit::BoundUtilization);
}

double totalOf(const std::map<base::RegionId, double> &Parts) {
  double Sum = 0;
  for (const auto &[Region, Part] : Parts)
    Sum += Part;
  return Sum;
}

} // namespace

RegionSplit::DesiredSplit RegionSplit::computeDesired(
    const std::map<base::RegionId, RegionLoad> &Loads) const {
  double Slots = 0;
  double Demand = 0;
  for (const auto &[Region, Load] : Loads) {
    Slots += freeSlots(Load);
    Demand += Load.Demand_;
  }
  DesiredSplit Result;
  const auto Own = Loads.find(OwnRegion_);
  if (Slots <= 0 || Own == Loads.end())
    return Result;
  // Without known demand, callers are assumed to be spread evenly and all slots
  // to be needed.
  const bool HasDemand = Demand > 0;
  const double EvenDemand = Slots / static_cast<double>(Loads.size());
  const double MaxUtilization =
      HasDemand ? std::max(LocalUtilization, Demand / Slots) : 1.0;
  for (const auto &[Region, Load] : Loads) {
    const double RegionDemand = HasDemand ? Load.Demand_ : EvenDemand;
    const double Spare = MaxUtilization * freeSlots(Load) - RegionDemand;
    if (Region == OwnRegion_)
      Result.SpilloverShare_ =
          RegionDemand > 0 ? std::clamp(-Spare / RegionDemand, 0.0, 1.0) : 0;
    else if (Spare > 0)
      Result.SpareSlots_[Region] = Spare;
  }
  // No other region has free slots: requests that stay at least save the trip.
  if (totalOf(Result.SpareSlots_) <= 0 && freeSlots(Own->second) > 0)
    Result.SpilloverShare_ = 0;
  return Result;
}

void RegionSplit::update(const std::map<base::RegionId, RegionLoad> &Loads,
                         base::TimePoint Now) {
  const DesiredSplit Desired =
      computeDesired(IsLeading_ ? forecast(Loads, Now) : Loads);
  std::map<base::RegionId, double> Slots;
  for (const auto &[Region, Load] : Loads)
    Slots[Region] = Load.Slots_;
  double Changed = 0;
  for (const auto &[Region, Count] : Slots)
    Changed += std::abs(Count - Slots_[Region]);
  const bool IsLargeChange = Changed > LargeSlotChange * totalOf(Slots);
  Slots_ = std::move(Slots);
  if (!UpdatedAt_) {
    UpdatedAt_ = Now;
    SpilloverShare_ = Desired.SpilloverShare_;
    SpilloverWeights_ = Desired.SpareSlots_;
    return;
  }
  if (IsLargeChange)
    FastUntil_ = Now + FastChangeTime;
  if (IsLeading_) {
    const base::Duration Elapsed =
        std::min<base::Duration>(Now - *UpdatedAt_, MaxLeadingStepTime);
    UpdatedAt_ = Now;
    moveTowards(Desired,
                base::toSeconds(Elapsed) * (Now < FastUntil_
                                                ? MaxFastChangePerSecond
                                                : MaxLeadingChangePerSecond),
                Now);
    return;
  }
  const double Step =
      base::toSeconds(Now - *UpdatedAt_) *
      (Now < FastUntil_ ? MaxFastChangePerSecond : MaxChangePerSecond);
  UpdatedAt_ = Now;
  SpilloverShare_ +=
      std::clamp(Desired.SpilloverShare_ - SpilloverShare_, -Step, Step);
  // The destinations change at the same pace. A region without free slots is
  // left to the load estimates of its targets.
  const double Sum = totalOf(Desired.SpareSlots_);
  if (Sum <= 0)
    return;
  std::map<base::RegionId, double> NewWeights;
  const double OldSum = std::max(totalOf(SpilloverWeights_), 1e-9);
  for (const auto &[Region, Count] : Slots_) {
    if (Region == OwnRegion_)
      continue;
    const auto Found = Desired.SpareSlots_.find(Region);
    const double DesiredWeight =
        Found == Desired.SpareSlots_.end() ? 0 : Found->second / Sum;
    const double OldWeight = SpilloverWeights_.contains(Region)
                                 ? SpilloverWeights_[Region] / OldSum
                                 : DesiredWeight;
    NewWeights[Region] =
        OldWeight + std::clamp(DesiredWeight - OldWeight, -Step, Step);
  }
  SpilloverWeights_ = std::move(NewWeights);
}

std::map<base::RegionId, RegionLoad>
RegionSplit::forecast(const std::map<base::RegionId, RegionLoad> &Loads,
                      base::TimePoint Now) {
  std::map<base::RegionId, RegionLoad> Result = Loads;
  std::erase_if(Forecasts_, [&Loads](const auto &Entry) {
    return !Loads.contains(Entry.first);
  });
  for (auto &[Region, Load] : Result) {
    Forecasts &Known = Forecasts_[Region];
    const base::Duration Lag =
        Region == OwnRegion_ ? OwnDemandLag : OtherDemandLag;
    Known.Demand_.record(Load.Demand_, Now);
    Known.BoundDemand_.record(Load.BoundDemand_, Now);
    Load.Demand_ = Known.Demand_.forecast(Lag, Now);
    Load.BoundDemand_ = Known.BoundDemand_.forecast(Lag, Now);
  }
  return Result;
}

std::map<base::RegionId, double>
RegionSplit::desiredWeights(const DesiredSplit &Desired) const {
  std::map<base::RegionId, double> Result;
  const double Sum = totalOf(Desired.SpareSlots_);
  if (Sum <= 0)
    return Result;
  for (const auto &[Region, Count] : Slots_) {
    if (Region == OwnRegion_)
      continue;
    const auto Found = Desired.SpareSlots_.find(Region);
    Result[Region] =
        Found == Desired.SpareSlots_.end() ? 0 : Found->second / Sum;
  }
  return Result;
}

void RegionSplit::moveTowards(const DesiredSplit &Desired, double Step,
                              base::TimePoint Now) {
  RuleShares_.aimAt(Desired.SpilloverShare_, Now);
  const bool HasRules = RuleShares_.meanShare().has_value();
  std::map<base::RegionId, double> Weights = desiredWeights(Desired);
  const double OldSum = totalOf(SpilloverWeights_);
  std::map<base::RegionId, double> OldWeights;
  double Shifted = 0;
  for (const auto &[Region, Weight] : Weights) {
    const auto Old = SpilloverWeights_.find(Region);
    const bool IsOld = Old != SpilloverWeights_.end();
    OldWeights[Region] = OldSum <= 0 ? Weight
                         : IsOld     ? Old->second / OldSum
                                     : 0;
    Shifted += std::abs(Weight - OldWeights[Region]) / 2;
  }
  const double Distance =
      (HasRules ? RuleShares_.distance()
                : std::abs(Desired.SpilloverShare_ - SpilloverShare_)) +
      Shifted * SpilloverShare_;
  const double Part = Distance > Step ? Step / Distance : 1;
  RuleShares_.advance(Part);
  SpilloverShare_ += Part * (Desired.SpilloverShare_ - SpilloverShare_);
  SpilloverShare_ = RuleShares_.meanShare().value_or(SpilloverShare_);
  if (Weights.empty())
    return;
  for (auto &[Region, Weight] : Weights)
    Weight = OldWeights[Region] + Part * (Weight - OldWeights[Region]);
  SpilloverWeights_ = std::move(Weights);
}

base::RegionId RegionSplit::regionFor(std::uint64_t Object,
                                      std::uint64_t BodyBytes,
                                      const std::vector<base::RegionId> *Homes,
                                      std::string_view Rule) const {
  const double Share =
      (IsLeading_ ? RuleShares_.shareOf(Rule).value_or(SpilloverShare_)
                  : SpilloverShare_) *
      (BodyBytes > LargeBodyBytes ? LargeBodyFactor : 1);
  if (allows(Homes, OwnRegion_) && uniformDraw(Object) >= Share)
    return OwnRegion_;
  const std::map<base::RegionId, double> &Weights =
      allows(Homes, OwnRegion_) ? SpilloverWeights_ : Slots_;
  base::RegionId Chosen = OwnRegion_;
  double Highest = -1;
  for (const auto &[Region, Weight] : Weights) {
    if (Weight <= 0 || !allows(Homes, Region))
      continue;
    const double Score =
        rendezvousScore(Object, base::stableHash(Region.name()), Weight);
    if (Score > Highest) {
      Highest = Score;
      Chosen = Region;
    }
  }
  return Chosen;
}

} // namespace lychee::dispatch
