#include "dispatch/ColdAllowance.h"

namespace lychee::dispatch {

bool ColdAllowance::take(double RatePerSecond, base::TimePoint Now) noexcept {
  if (RatePerSecond <= 0 || Now < Next_)
    return false;
  Next_ = Now + base::fromSeconds(1 / (RatePerSecond * HostPart));
  return true;
}

} // namespace lychee::dispatch
