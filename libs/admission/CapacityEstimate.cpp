#include "admission/CapacityEstimate.h"

#include <algorithm>
#include <cmath>

namespace lychee::admission {

namespace {

/// A host that was frozen knows nothing of the time in between.
constexpr base::Duration MaxStep = std::chrono::seconds(1);

} // namespace

void CapacityEstimate::update(const WorkPressure &Region, double SlotShare,
                              base::TimePoint Now) noexcept {
  const double Seconds =
      base::toSeconds(std::clamp(Now - UpdatedAt_, base::Duration(), MaxStep));
  UpdatedAt_ = Now;
  Asked_ = Region.Asked_;
  LeastShare_ = std::clamp(SlotShare, MinShare, 1.0);
  const bool IsMeasured = Region.Admitted_ >= MinAskedSlots;
  const double Shortage = IsMeasured ? Region.Lacking_ / Region.Admitted_ : 0;
  const bool IsShort = Shortage > TolerableShortage;
  if (!IsLimited_) {
    if (!IsShort)
      return;
    IsLimited_ = true;
    Slots_ = Region.Asked_;
  }
  if (IsShort) {
    const double Served =
        Region.Admitted_ * (1 + TolerableShortage) - Region.Lacking_;
    if (Served < Slots_)
      Slots_ += (Served - Slots_) *
                (1 - std::exp(-Seconds / base::toSeconds(FallTime)));
  } else {
    Slots_ *= 1 + RisePerSecond * Seconds * (1 - Shortage / TolerableShortage);
  }
  Slots_ = std::max(Slots_, Asked_ * LeastShare_);
  if (IsShort || Slots_ < Asked_)
    ShortAt_ = Now;
  IsLimited_ = Now - ShortAt_ < ClearTime;
}

void CapacityEstimate::approach(double Share, double Weight,
                                base::TimePoint Now) noexcept {
  if (Asked_ < MinAskedSlots)
    return;
  if (!IsLimited_) {
    IsLimited_ = true;
    Slots_ = Asked_;
    ShortAt_ = Now;
  }
  // Above a share of 1 the distance to capacity is not known to others.
  if (Share >= 1 && Slots_ >= Asked_)
    return;
  Slots_ += (std::clamp(Share, LeastShare_, 1.0) * Asked_ - Slots_) * Weight;
}

double CapacityEstimate::share() const noexcept {
  if (!IsLimited_ || Asked_ <= 0)
    return 1;
  return std::clamp(Slots_ / Asked_, LeastShare_, 1.0);
}

} // namespace lychee::admission
