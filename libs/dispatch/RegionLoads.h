#ifndef LYCHEE_DISPATCH_REGIONLOADS_H
#define LYCHEE_DISPATCH_REGIONLOADS_H

#include "base/Id.h"
#include "dispatch/DemandMeter.h"

#include <map>

namespace lychee::dispatch {

/// How busy a service's targets are in each region, by what targets reported
/// to this host.
///
/// Load pattern: hundreds of targets and dozens of hosts; a host hears of one
/// target every ten seconds or so. A target that it has not heard of is most
/// likely as busy as the others of its region, not idle.
///
/// Failure that bounds this: after an overload a host that believed the last
/// reports for good would refuse everything, and so never hear that the targets
/// are idle again. \see LoadEstimate
class RegionLoads {
public:
  /// \param OthersPerSlot  requests of other hosts, for each slot.
  void reported(const base::RegionId &Region, double OthersPerSlot,
                base::TimePoint Now);

  /// \returns the mean of the last seconds, which fades where no report comes:
  /// a region to which nothing is sent any more works off what it has.
  /// \param RunSeconds  how long a request runs there.
  double othersPerSlot(const base::RegionId &Region, double RunSeconds,
                       base::TimePoint Now) const;

private:
  struct Sums {
    DemandMeter Loads_;
    DemandMeter Count_;
    double Mean_ = 0;
    base::TimePoint Reported_;
  };

  std::map<base::RegionId, Sums> Regions_;
};

} // namespace lychee::dispatch

#endif
