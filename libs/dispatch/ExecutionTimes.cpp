#include "dispatch/ExecutionTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// Number of runs after which a single outlier is bounded, and the factor to
/// which it is.
constexpr int OutlierBoundAfter = 3;
constexpr double MaxOutlierFactor = 3;

} // namespace

void ExecutionTimes::RunningMean::add(double Seconds) noexcept {
  ++Count_;
  const double Bounded = Count_ > OutlierBoundAfter
                             ? std::clamp(Seconds, Seconds_ / MaxOutlierFactor,
                                          Seconds_ * MaxOutlierFactor)
                             : Seconds;
  Seconds_ += std::max(MinWeight, 1.0 / Count_) * (Bounded - Seconds_);
}

ExecutionTimes::ExecutionTimes(base::Duration Objective) noexcept {
  const double Warm = base::toSeconds(Objective) * ObjectiveFraction;
  if (Warm <= 0)
    return;
  Warm_.Seconds_ = Warm;
  Overall_.Seconds_ = Warm;
  Cold_.Seconds_ = Warm * AssumedColdRatio;
}

void ExecutionTimes::adopt(double Warm, double Cold, double Overall) noexcept {
  if (isKnown() || Warm <= 0)
    return;
  Warm_ = {Warm, OutlierBoundAfter};
  Cold_ = {Cold, OutlierBoundAfter};
  Overall_ = {Overall, OutlierBoundAfter};
}

double ExecutionTimes::coldSeconds() const noexcept {
  return std::max(Warm_.Seconds_, Cold_.Seconds_);
}

bool ExecutionTimes::wasWarm(double Seconds, bool KnownWarm) const noexcept {
  if (KnownWarm || Cold_.Count_ == 0)
    return KnownWarm;
  return Seconds < std::sqrt(Warm_.Seconds_ * Cold_.Seconds_);
}

void ExecutionTimes::record(double Seconds, bool KnownWarm) noexcept {
  Overall_.add(Seconds);
  if (wasWarm(Seconds, KnownWarm)) {
    Warm_.add(Seconds);
    return;
  }
  Cold_.add(Seconds);
  if (Warm_.Count_ == 0)
    Warm_.Seconds_ = Cold_.Seconds_ / AssumedColdRatio;
}

} // namespace lychee::dispatch
