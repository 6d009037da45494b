#include "dispatch/LoadEstimate.h"

#include "dispatch/WorkTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

void LoadEstimate::reported(const steering::TargetLoad &Told,
                            base::TimePoint Now) noexcept {
  const double All = static_cast<double>(Told.Running_) + Told.Waiting_;
  Others_ = std::max(0.0, All - Own_);
  Slots_ = std::max(1U, Told.Slots_);
  Reported_ = Now;
}

void LoadEstimate::refused(std::uint32_t Slots, base::TimePoint Now) noexcept {
  // Its queue is some slots long; how long exactly, it does not say.
  Others_ = std::max(Others_, 2.0 * Slots);
  Slots_ = std::max(1U, Slots);
  Reported_ = Now;
}

double LoadEstimate::at(const UsualLoad &Usual,
                        base::TimePoint Now) const noexcept {
  if (Reported_ == base::TimePoint())
    return Own_ + Usual.Others_;
  const double Run = std::max(Usual.RunSeconds_, WorkTimes::LeastRunSeconds);
  const double WorkedOff = std::max(1.0, othersPerSlot()) * Run;
  const double Age = base::toSeconds(Now - Reported_);
  const double Fresh = std::exp2(-Age / WorkedOff);
  return Own_ + Usual.Others_ + (Others_ - Usual.Others_) * Fresh;
}

} // namespace lychee::dispatch
