#include "budget/DemandEstimator.h"

#include <cmath>

namespace lychee::budget {

double DemandEstimator::decayed(base::TimePoint Now) const noexcept {
  if (Now <= Last_)
    return Count_;
  return Count_ *
         std::exp(-base::toSeconds(Now - Last_) / base::toSeconds(Memory_));
}

void DemandEstimator::note(double Requests, base::TimePoint Now) noexcept {
  Count_ = decayed(Now) + Requests;
  if (Now > Last_)
    Last_ = Now;
}

double DemandEstimator::ratePerSecond(base::TimePoint Now) const noexcept {
  return decayed(Now) / base::toSeconds(Memory_);
}

} // namespace lychee::budget
