#include "dispatch/TargetHealth.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Weight of one outcome in the shares of failures and refusals: about the last
/// ten count.
constexpr double ShareWeight = 0.1;

} // namespace

void TargetHealth::recordAnswer(base::TimePoint Now) noexcept {
  if (mayHaveRestarted(Now))
    ProbationUntil_ = Now + ProbationTime;
  RestartSuspectedUntil_ = {};
  ConsecutiveFailures_ = 0;
  NextEjectionTime_ = BaseEjectionTime;
  FailureShare_ -= ShareWeight * FailureShare_;
  RefusalShare_ -= ShareWeight * RefusalShare_;
}

void TargetHealth::eject(base::TimePoint Now) noexcept {
  RestartSuspectedUntil_ = Now + RestartDetectionTime;
  EjectedAt_ = Now;
  EjectedUntil_ = Now + NextEjectionTime_;
  NextEjectionTime_ = std::min(NextEjectionTime_ * 2, MaxEjectionTime);
}

void TargetHealth::recordConnectFailure(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  eject(Now);
}

void TargetHealth::recordFailure(base::TimePoint Now) noexcept {
  FailureShare_ += ShareWeight * (1 - FailureShare_);
  if (++ConsecutiveFailures_ >= MaxConsecutiveFailures)
    eject(Now);
}

void TargetHealth::recordRefusal() noexcept {
  RefusalShare_ += ShareWeight * (1 - RefusalShare_);
}

void TargetHealth::forgetSince(base::TimePoint Since) noexcept {
  if (EjectedAt_ < Since)
    return;
  EjectedUntil_ = {};
  RestartSuspectedUntil_ = {};
  NextEjectionTime_ = BaseEjectionTime;
  ConsecutiveFailures_ = 0;
  FailureShare_ = 0;
}

double TargetHealth::excessFailureShare() const noexcept {
  return std::max({0.0, FailureShare_ - ToleratedFailureShare,
                   RefusalShare_ - ToleratedRefusalShare});
}

} // namespace lychee::dispatch
