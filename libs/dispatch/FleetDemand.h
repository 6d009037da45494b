#ifndef LYCHEE_DISPATCH_FLEETDEMAND_H
#define LYCHEE_DISPATCH_FLEETDEMAND_H

#include "members/HostTable.h"

#include <cstddef>
#include <vector>

namespace lychee::dispatch {

/// Demand and state of the other hosts, as far as the rate limits need them.
struct FleetDemand {
  std::vector<members::HostView> OtherHosts_;
  /// Other regions, whose demand is known as one total per region.
  std::vector<members::RegionView> OtherRegions_;
  members::HostDescriptor Self_;
  /// This host accepts callers' requests, as others do.
  bool IsServing_ = true;
  /// This host reaches no targets. \see TargetReach
  bool TargetsUnreached_ = false;
  /// Hosts that hold a share, including this one.
  std::size_t HostCount_ = 1;
  /// Number of regions in the fleet.
  std::size_t RegionCount_ = 1;
  /// Most other hosts fell silent at once: this host is cut off.
  bool IsCutOff_ = false;
};

} // namespace lychee::dispatch

#endif
