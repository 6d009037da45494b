#include "dispatch/LoadEstimate.h"

#include "dispatch/ExecutionTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

void LoadEstimate::recordReport(const steering::TargetLoad &Load,
                                base::TimePoint Now) noexcept {
  const double Total = static_cast<double>(Load.Running_) + Load.Waiting_;
  OtherRequests_ = std::max(0.0, Total - OwnRequests_);
  Slots_ = std::max(1U, Load.Slots_);
  ReportedAt_ = Now;
}

void LoadEstimate::recordRefusal(std::uint32_t Slots,
                                 base::TimePoint Now) noexcept {
  // The length of its queue is not part of a refusal; it is assumed to hold as
  // many requests as there are slots.
  OtherRequests_ = std::max(OtherRequests_, 2.0 * Slots);
  Slots_ = std::max(1U, Slots);
  ReportedAt_ = Now;
}

double LoadEstimate::estimate(const BaselineLoad &Baseline,
                              base::TimePoint Now) const noexcept {
  if (ReportedAt_ == base::TimePoint())
    return OwnRequests_ + Baseline.OtherRequests_;
  const double Run =
      std::max(Baseline.RunSeconds_, ExecutionTimes::MinRunSeconds);
  const double HalfLife = std::max(1.0, othersPerSlot()) * Run;
  const double Age = base::toSeconds(Now - ReportedAt_);
  const double Weight = std::exp2(-Age / HalfLife);
  return OwnRequests_ + Baseline.OtherRequests_ +
         (OtherRequests_ - Baseline.OtherRequests_) * Weight;
}

} // namespace lychee::dispatch
