#include "gateway/HedgePolicy.h"

#include <algorithm>

namespace lychee::gateway {

namespace {

/// Weight of one answer in the usual time: the last sixteen or so count.
constexpr int SmoothingAnswers = 16;

} // namespace

void HedgePolicy::answered(base::Duration Took) noexcept {
  Budget_ = std::min(MostBudget, Budget_ + ShareOfAnswers);
  Usual_ = Usual_ == base::Duration::zero()
               ? Took
               : Usual_ + (Took - Usual_) / SmoothingAnswers;
}

std::optional<base::Duration>
HedgePolicy::delayFor(base::Duration IdleFor,
                      base::Duration IdleLimit) const noexcept {
  if (IdleFor < IdleLimit || Budget_ < 1)
    return std::nullopt;
  return std::max(LeastDelay, Usual_ * UsualTimes);
}

} // namespace lychee::gateway
