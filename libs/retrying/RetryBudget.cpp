#include "retrying/RetryBudget.h"

#include <algorithm>

namespace lychee::retrying {

bool RetryBudget::spend(base::TimePoint Now) noexcept {
  refill(Now);
  if (Tokens_ < OneToken)
    return false;
  Tokens_ -= OneToken;
  return true;
}

bool RetryBudget::spendBoth(RetryBudget &Host, RetryBudget &Target,
                            base::TimePoint Now) noexcept {
  Host.refill(Now);
  Target.refill(Now);
  if (Host.Tokens_ < OneToken || Target.Tokens_ < OneToken)
    return false;
  Host.Tokens_ -= OneToken;
  Target.Tokens_ -= OneToken;
  return true;
}

void RetryBudget::earn(double Amount) noexcept {
  Tokens_ =
      std::min(inMicrotokens(Limits_.Most_), Tokens_ + inMicrotokens(Amount));
}

void RetryBudget::refill(base::TimePoint Now) noexcept {
  if (Now <= Refilled_)
    return;
  earn(Limits_.EarnedEachSecond_ * base::toSeconds(Now - Refilled_));
  Refilled_ = Now;
}

} // namespace lychee::retrying
