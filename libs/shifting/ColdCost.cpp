#include "shifting/ColdCost.h"

#include <algorithm>
#include <cmath>

namespace lychee::shifting {

namespace {

/// The last 32 requests or so count: as many as show a change of the mean by
/// a fifth, and few enough to follow caches that warm within minutes.
constexpr int Samples = 32;

void addSample(base::Duration &Mean, base::Duration Took) noexcept {
  if (Mean == base::Duration::zero())
    Mean = Took;
  else
    Mean += (Took - Mean) / Samples;
}

} // namespace

void ColdCost::ownTook(base::Duration Took) noexcept { addSample(Own_, Took); }

void ColdCost::movedTook(base::Duration Took, base::TimePoint Now) noexcept {
  addSample(Moved_, Took);
  LastMoved_ = Now;
}

double ColdCost::factor(base::TimePoint Now) const noexcept {
  if (Own_ <= base::Duration::zero() || Moved_ <= base::Duration::zero())
    return Unmeasured;
  const double Ratio = base::toSeconds(Moved_) / base::toSeconds(Own_);
  const double Measured = std::clamp(Ratio, 1.0, Highest);
  const double HalfLives =
      base::toSeconds(Now - LastMoved_) / base::toSeconds(HalfForgotten);
  const double Known = std::exp2(-std::max(0.0, HalfLives));
  return Unmeasured + (Measured - Unmeasured) * Known;
}

} // namespace lychee::shifting
