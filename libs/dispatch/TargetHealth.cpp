#include "dispatch/TargetHealth.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Weight of one end in the share of failures: the last ten count.
constexpr double ShareWeight = 0.1;

} // namespace

void TargetHealth::answered(base::TimePoint Now) noexcept {
  if (isSuspect(Now))
    ProbationUntil_ = Now + Probation;
  SuspectUntil_ = {};
  InRow_ = 0;
  NextOut_ = FirstOut;
  FailureShare_ -= ShareWeight * FailureShare_;
  RefusalShare_ -= ShareWeight * RefusalShare_;
}

void TargetHealth::takeOut(base::TimePoint Now) noexcept {
  SuspectUntil_ = Now + EntryProof;
  OutUntil_ = Now + NextOut_;
  NextOut_ = std::min(NextOut_ * 2, LongestOut);
}

void TargetHealth::unreachable(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  takeOut(Now);
}

void TargetHealth::failed(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  if (++InRow_ >= FailuresInRow)
    takeOut(Now);
}

void TargetHealth::refused() noexcept {
  RefusalShare_ += ShareWeight * (1 - RefusalShare_);
}

double TargetHealth::excess() const noexcept {
  return std::max(
      {0.0, FailureShare_ - KeptFailures, RefusalShare_ - KeptRefusals});
}

} // namespace lychee::dispatch
