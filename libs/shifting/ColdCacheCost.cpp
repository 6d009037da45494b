#include "shifting/ColdCacheCost.h"

#include <algorithm>
#include <cmath>

namespace lychee::shifting {

namespace {

/// Window of the moving averages, in requests: enough to show a change of the
/// mean by a fifth, and short enough to follow caches that warm up within
/// minutes.
constexpr int WindowSamples = 32;

void addSample(base::Duration &Mean, base::Duration Latency) noexcept {
  if (Mean == base::Duration::zero())
    Mean = Latency;
  else
    Mean += (Latency - Mean) / WindowSamples;
}

} // namespace

void ColdCacheCost::recordOwn(base::Duration Latency) noexcept {
  addSample(Own_, Latency);
}

void ColdCacheCost::recordMoved(base::Duration Latency,
                                base::TimePoint Now) noexcept {
  addSample(Moved_, Latency);
  LastMoved_ = Now;
}

double ColdCacheCost::factor(base::TimePoint Now) const noexcept {
  if (Own_ <= base::Duration::zero() || Moved_ <= base::Duration::zero())
    return DefaultFactor;
  const double Ratio = base::toSeconds(Moved_) / base::toSeconds(Own_);
  const double Measured = std::clamp(Ratio, 1.0, MaxFactor);
  const double HalfLives =
      base::toSeconds(Now - LastMoved_) / base::toSeconds(HalfLife);
  const double Weight = std::exp2(-std::max(0.0, HalfLives));
  return DefaultFactor + (Measured - DefaultFactor) * Weight;
}

} // namespace lychee::shifting
