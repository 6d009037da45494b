#include "dispatch/WorkTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// From so many runs on, one strange run among many is bounded.
constexpr int EnoughRuns = 3;
constexpr double MostChange = 3;

} // namespace

void WorkTimes::Mean::add(double Seconds) noexcept {
  ++Count_;
  const double Bounded =
      Count_ > EnoughRuns
          ? std::clamp(Seconds, Seconds_ / MostChange, Seconds_ * MostChange)
          : Seconds;
  Seconds_ += std::max(LeastWeight, 1.0 / Count_) * (Bounded - Seconds_);
}

WorkTimes::WorkTimes(base::Duration Objective) noexcept {
  const double Warm = base::toSeconds(Objective) * GuessedPart;
  if (Warm <= 0)
    return;
  Warm_.Seconds_ = Warm;
  Usual_.Seconds_ = Warm;
  Cold_.Seconds_ = Warm * AssumedRatio;
}

void WorkTimes::adopt(double Warm, double Cold, double Usual) noexcept {
  if (isKnown() || Warm <= 0)
    return;
  Warm_ = {Warm, EnoughRuns};
  Cold_ = {Cold, EnoughRuns};
  Usual_ = {Usual, EnoughRuns};
}

double WorkTimes::coldSeconds() const noexcept {
  return std::max(Warm_.Seconds_, Cold_.Seconds_);
}

bool WorkTimes::wasWarm(double Seconds, bool KnownWarm) const noexcept {
  if (KnownWarm || Cold_.Count_ == 0)
    return KnownWarm;
  return Seconds < std::sqrt(Warm_.Seconds_ * Cold_.Seconds_);
}

void WorkTimes::seen(double Seconds, bool KnownWarm) noexcept {
  Usual_.add(Seconds);
  if (wasWarm(Seconds, KnownWarm)) {
    Warm_.add(Seconds);
    return;
  }
  Cold_.add(Seconds);
  if (Warm_.Count_ == 0)
    Warm_.Seconds_ = Cold_.Seconds_ / AssumedRatio;
}

} // namespace lychee::dispatch
