#include "dispatch/RegionLoads.h"

#include "dispatch/WorkTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

void RegionLoads::reported(const base::RegionId &Region, double OthersPerSlot,
                           base::TimePoint Now) {
  Sums &Of = Regions_[Region];
  Of.Loads_.add(OthersPerSlot, Now);
  Of.Count_.add(1, Now);
  Of.Reported_ = Now;
  Of.Mean_ = Of.Loads_.perSecond(Now) / Of.Count_.perSecond(Now);
}

double RegionLoads::othersPerSlot(const base::RegionId &Region,
                                  double RunSeconds,
                                  base::TimePoint Now) const {
  const auto Found = Regions_.find(Region);
  if (Found == Regions_.end())
    return 0;
  const Sums &Of = Found->second;
  const double WorkedOff = std::max(1.0, Of.Mean_) *
                           std::max(RunSeconds, WorkTimes::LeastRunSeconds);
  const double Age = base::toSeconds(Now - Of.Reported_);
  return Of.Mean_ * std::exp2(-Age / WorkedOff);
}

} // namespace lychee::dispatch
