#include "dispatch/TargetTrust.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Weight of one end in the share of failures: the last ten count.
constexpr double ShareWeight = 0.1;

} // namespace

void TargetTrust::answered(base::TimePoint Now) noexcept {
  if (isSuspect(Now))
    ProbationUntil_ = Now + Probation;
  SuspectUntil_ = {};
  InRow_ = 0;
  NextOut_ = FirstOut;
  FailureShare_ -= ShareWeight * FailureShare_;
  RefusalShare_ -= ShareWeight * RefusalShare_;
}

void TargetTrust::takeOut(base::TimePoint Now) noexcept {
  SuspectUntil_ = Now + EntryProof;
  OutUntil_ = Now + NextOut_;
  NextOut_ = std::min(NextOut_ * 2, LongestOut);
}

void TargetTrust::unreachable(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  takeOut(Now);
}

void TargetTrust::failed(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  if (++InRow_ >= FailuresInRow)
    takeOut(Now);
}

void TargetTrust::refused() noexcept {
  RefusalShare_ += ShareWeight * (1 - RefusalShare_);
}

double TargetTrust::excess() const noexcept {
  return std::max(
      {0.0, FailureShare_ - KeptFailures, RefusalShare_ - KeptRefusals});
}

} // namespace lychee::dispatch
