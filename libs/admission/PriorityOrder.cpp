#include "admission/PriorityOrder.h"

#include <algorithm>
#include <numeric>

namespace lychee::admission {

void PriorityOrder::setDemands(
    std::span<const double, PriorityCount> Demands) noexcept {
  const double Total = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  double Before = 0;
  for (std::size_t Index = 0; Index < PriorityCount; ++Index) {
    Before_[Index] = Before;
    Own_[Index] = Total > 0 ? Demands[Index] / Total : 0;
    Before += Own_[Index];
  }
}

ShareDecision PriorityOrder::decide(const PriorityQuery &Query) const noexcept {
  const std::size_t Index = priorityIndex(Query.Priority_);
  const double Before = Query.IsOnlyPriority_ ? 0 : Before_[Index];
  const double Own = Query.IsOnlyPriority_ ? 1 : Own_[Index];
  const double Reached =
      Own > 0 ? std::clamp((Query.Fraction_ - Before) / Own, 0.0, 1.0)
              : (Before < Query.Fraction_ ? 1.0 : 0.0);
  const double Served = std::max(Reached, Query.Fraction_ * MinPart);
  ShareDecision Result;
  Result.Fraction_ = Query.Fraction_;
  Result.Ahead_ = std::min(1.0, Before + Query.Draw_ * Own);
  if (Query.Draw_ >= Served)
    Result.Outcome_ = Query.Draw_ < Query.Fraction_ ? ShareOutcome::LessUrgent
                                                    : ShareOutcome::OverShare;
  return Result;
}

} // namespace lychee::admission
