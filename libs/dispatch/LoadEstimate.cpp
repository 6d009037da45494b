#include "dispatch/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

namespace {

/// Weight of a new report in the mean of reports: ten reports make it up.
constexpr double MeanWeight = 0.1;

} // namespace

void LoadEstimate::reported(const steering::TargetLoad &Told,
                            base::TimePoint Now) noexcept {
  const double All = static_cast<double>(Told.Running_) + Told.Waiting_;
  Others_ = std::max(0.0, All - Own_);
  Mean_ += MeanWeight * (Others_ - Mean_);
  Reported_ = Now;
}

void LoadEstimate::refused(std::uint32_t Slots, base::TimePoint Now) noexcept {
  // Its queue is some slots long; how long exactly, it does not say.
  Others_ = std::max(Others_, 2.0 * Slots);
  Reported_ = Now;
}

double LoadEstimate::at(base::TimePoint Now) const noexcept {
  const double Age = base::toSeconds(Now - Reported_);
  const double Fresh = std::exp2(-Age / base::toSeconds(FadeTime));
  return Own_ + Mean_ + (Others_ - Mean_) * Fresh;
}

} // namespace lychee::dispatch
