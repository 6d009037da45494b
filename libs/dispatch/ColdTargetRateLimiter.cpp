#include "dispatch/ColdTargetRateLimiter.h"

namespace lychee::dispatch {

bool ColdTargetRateLimiter::take(double RatePerSecond,
                                 base::TimePoint Now) noexcept {
  if (Now < Next_)
    return false;
  const double Rate = RatePerSecond > 0 ? RatePerSecond : UnstatedRate;
  Next_ = Now + base::fromSeconds(1 / (Rate * HostPart));
  return true;
}

} // namespace lychee::dispatch
