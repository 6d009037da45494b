#include "dispatch/RateBucket.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Rate assumed for the computation of waits where the actual one is close to
/// zero, so that waits stay in the range of seconds.
constexpr double MinRatePerSecond = 0.1;

} // namespace

void RateBucket::refill(double PerSecond, double Capacity,
                        base::TimePoint Now) noexcept {
  Tokens_ = std::min(Tokens_ + base::toSeconds(Now - RefilledAt_) * PerSecond,
                     Capacity);
  RefilledAt_ = Now;
}

std::optional<base::Duration> RateBucket::take(double PerSecond,
                                               double Reserved) noexcept {
  if (Tokens_ >= 1 + Reserved) {
    Tokens_ -= 1;
    return std::nullopt;
  }
  return base::fromSeconds((1 + Reserved - Tokens_) /
                           std::max(MinRatePerSecond, PerSecond));
}

} // namespace lychee::dispatch
