#ifndef LYCHEE_MEMBERS_REGIONUPDATE_H
#define LYCHEE_MEMBERS_REGIONUPDATE_H

#include "members/Heartbeat.h"

namespace lychee::members {

/// A host as seen by the representatives of its region.
struct HostStatus {
  HostDescriptor Descriptor_;
  bool Ready_ = false;
  bool Leaving_ = false;
  /// The host is silent or has ended.
  bool Gone_ = false;
  /// The host reaches no targets.
  bool TargetsUnreached_ = false;

  bool operator==(const HostStatus &) const = default;
};

/// Everything that a representative knows of its region.
struct RegionSummary {
  std::vector<HostStatus> Hosts_;
  /// Sums over all hosts that may still be spending tokens.
  std::vector<CustomerDemand> Demands_;
  /// Sums over all live hosts.
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
  std::vector<TargetRate> TargetRates_;
  std::vector<TargetLeaving> TargetLeavings_;
};

/// What a representative sends to other regions: changes, and the unchanged
/// state in rotation. One datagram each. \see RegionAnnouncer, RegionTable
struct RegionUpdate {
  base::RegionId Region_;
  base::HostId Representative_;
  /// Increases with each start of the representative.
  std::uint64_t Incarnation_ = 0;
  /// Increases with each update of an incarnation.
  std::uint64_t Sequence_ = 0;
  RegionSummary Summary_;
};

std::string encodeRegionUpdate(const RegionUpdate &Update);

/// \returns nothing and fills \p Last if \p Text is not a region update.
std::optional<RegionUpdate> decodeRegionUpdate(std::string_view Text,
                                               base::Error &Last);

} // namespace lychee::members

#endif
