#ifndef LYCHEE_DISPATCH_REGIONLOADS_H
#define LYCHEE_DISPATCH_REGIONLOADS_H

#include "base/Id.h"
#include "dispatch/DecayingRate.h"

#include <map>

namespace lychee::dispatch {

/// Mean load of a service's targets in each region, by the reports that targets
/// sent to this host.
///
/// Load pattern: hundreds of targets and dozens of hosts, where a host receives
/// a report of a given target every ten seconds or so. A target without a
/// recent report is most likely as busy as the others of its region, not idle.
///
/// Failure that bounds this: after an overload, a host that trusted the last
/// reports for good would refuse everything, and so never learn that the
/// targets are idle again. \see LoadEstimate
class RegionLoads {
public:
  /// \param OthersPerSlot  requests of other hosts per slot.
  void recordReport(const base::RegionId &Region, double OthersPerSlot,
                    base::TimePoint Now);

  /// \returns the mean of the last seconds, which decays while no report
  /// arrives: a region that gets no more requests works off those it has.
  /// \param RunSeconds  run time of a request there.
  double othersPerSlot(const base::RegionId &Region, double RunSeconds,
                       base::TimePoint Now) const;

private:
  struct ReportedLoad {
    DecayingRate Loads_;
    DecayingRate Count_;
    double Mean_ = 0;
    base::TimePoint ReportedAt_;
  };

  std::map<base::RegionId, ReportedLoad> Regions_;
};

} // namespace lychee::dispatch

#endif
