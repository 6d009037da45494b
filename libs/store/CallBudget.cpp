#include "store/CallBudget.h"

#include <algorithm>

namespace lychee::store {

CallBudget::CallBudget(double CallsPerSecond) noexcept
    : CallsPerSecond_(CallsPerSecond), Left_(std::max(CallsPerSecond, 1.0)) {}

bool CallBudget::take(base::TimePoint Now) noexcept {
  const double Gained = base::toSeconds(Now - Filled_) * CallsPerSecond_;
  if (Gained > 0) {
    Left_ = std::min(Left_ + Gained, std::max(CallsPerSecond_, 1.0));
    Filled_ = Now;
  }
  if (Left_ < 1)
    return false;
  Left_ -= 1;
  return true;
}

} // namespace lychee::store
