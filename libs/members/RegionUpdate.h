#ifndef LYCHEE_MEMBERS_REGIONUPDATE_H
#define LYCHEE_MEMBERS_REGIONUPDATE_H

#include "members/Heartbeat.h"

namespace lychee::members {

/// A host as the speakers of its region see it.
struct HostLine {
  HostDescriptor Card_;
  bool Ready_ = false;
  bool Leaving_ = false;
  /// Silent, or ended.
  bool Gone_ = false;

  bool operator==(const HostLine &) const = default;
};

/// All that a region's speaker knows of its region.
struct RegionSummary {
  std::vector<HostLine> Hosts_;
  /// Of all hosts that may still be spending tokens.
  std::vector<CustomerDemand> Demands_;
  /// Of all hosts that are alive.
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
};

/// What a region's speaker tells other regions: what has changed, and in turn
/// what stands. A datagram each. \see RegionTeller, RegionBook
struct RegionUpdate {
  base::RegionId Region_;
  base::HostId Speaker_;
  /// Rises with each start of the speaker.
  std::uint64_t Start_ = 0;
  /// Rises with each news of a start.
  std::uint64_t Sequence_ = 0;
  RegionSummary Summary_;
};

std::string encodeRegionNews(const RegionUpdate &Said);

/// \returns nothing, and \p Last filled, where \p Text is no such news.
std::optional<RegionUpdate> decodeRegionNews(std::string_view Text,
                                             base::Error &Last);

} // namespace lychee::members

#endif
