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

void RetryBudget::addTokens(double Amount) noexcept {
  Tokens_ = std::min(inMicrotokens(Limits_.MaxTokens_),
                     Tokens_ + inMicrotokens(Amount));
}

void RetryBudget::refill(base::TimePoint Now) noexcept {
  if (Now <= LastRefill_)
    return;
  addTokens(Limits_.TokensPerSecond_ * base::toSeconds(Now - LastRefill_));
  LastRefill_ = Now;
}

} // namespace lychee::retrying
