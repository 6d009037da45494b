#include "dispatch/ColdTargetRateLimiter.h"

namespace lychee::dispatch {

bool ColdTargetRateLimiter::tryAcquire(double RatePerSecond,
                                       base::TimePoint Now) noexcept {
  if (Now < NextAllowed_)
    return false;
  const double Rate = RatePerSecond > 0 ? RatePerSecond : DefaultRatePerSecond;
  NextAllowed_ = Now + base::fromSeconds(1 / (Rate * HostShare));
  return true;
}

} // namespace lychee::dispatch
