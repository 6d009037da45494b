#include "dispatch/RegionLoads.h"

#include "dispatch/ExecutionTimes.h"

#include <algorithm>
#include <cmath>

namespace lychee::dispatch {

void RegionLoads::recordReport(const base::RegionId &Region,
                               double OthersPerSlot, base::TimePoint Now) {
  ReportedLoad &Load = Regions_[Region];
  Load.Loads_.add(OthersPerSlot, Now);
  Load.Count_.add(1, Now);
  Load.ReportedAt_ = Now;
  Load.Mean_ = Load.Loads_.perSecond(Now) / Load.Count_.perSecond(Now);
}

double RegionLoads::othersPerSlot(const base::RegionId &Region,
                                  double RunSeconds,
                                  base::TimePoint Now) const {
  const auto Found = Regions_.find(Region);
  if (Found == Regions_.end())
    return 0;
  const ReportedLoad &Load = Found->second;
  const double HalfLife = std::max(1.0, Load.Mean_) *
                          std::max(RunSeconds, ExecutionTimes::MinRunSeconds);
  const double Age = base::toSeconds(Now - Load.ReportedAt_);
  return Load.Mean_ * std::exp2(-Age / HalfLife);
}

} // namespace lychee::dispatch
