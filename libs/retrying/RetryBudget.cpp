#include "retrying/RetryBudget.h"

#include <algorithm>

namespace lychee::retrying {

bool RetryBudget::spend(base::TimePoint Now) noexcept {
  refill(Now);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

bool RetryBudget::spendBoth(RetryBudget &Host, RetryBudget &Target,
                            base::TimePoint Now) noexcept {
  Host.refill(Now);
  Target.refill(Now);
  if (Host.Tokens_ < 1 || Target.Tokens_ < 1)
    return false;
  Host.Tokens_ -= 1;
  Target.Tokens_ -= 1;
  return true;
}

void RetryBudget::earn(double Amount) noexcept {
  Tokens_ = std::min(Limits_.Most_, Tokens_ + Amount);
}

void RetryBudget::refill(base::TimePoint Now) noexcept {
  if (Now <= Refilled_)
    return;
  earn(Limits_.EarnedEachSecond_ * base::toSeconds(Now - Refilled_));
  Refilled_ = Now;
}

} // namespace lychee::retrying
