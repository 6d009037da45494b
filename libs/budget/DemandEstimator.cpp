#include "budget/DemandEstimator.h"

#include <cmath>

namespace lychee::budget {

double DemandEstimator::decayed(base::TimePoint Now) const noexcept {
  if (Now <= Last_)
    return Count_;
  return Count_ * std::exp(-base::toSeconds(Now - Last_) /
                           base::toSeconds(TimeConstant_));
}

void DemandEstimator::record(double Requests, base::TimePoint Now) noexcept {
  Count_ = decayed(Now) + Requests;
  if (Now > Last_)
    Last_ = Now;
}

double DemandEstimator::ratePerSecond(base::TimePoint Now) const noexcept {
  return decayed(Now) / base::toSeconds(TimeConstant_);
}

} // namespace lychee::budget
