#ifndef LYCHEE_FLEET_MEMBER_H
#define LYCHEE_FLEET_MEMBER_H

#include "base/Id.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// One host of the fleet, as its zone's record names it.
struct Member {
  base::HostId Host_;
  base::RegionId Region_;
  /// IP:PORT for peers and operators, and for callers.
  std::string PeerAddress_;
  std::string CallerAddress_;
  /// Drawn anew at each start of the process.
  std::uint64_t Incarnation_ = 0;
  /// The newest heartbeat that a record holds; its lease counts from the moment
  /// at which the host sent it.
  std::uint64_t Sequence_ = 0;
  /// The record's generation at which this host was admitted.
  std::uint64_t AdmissionGeneration_ = 0;
  /// The newest generation that the host is known to know.
  std::uint64_t KnownGeneration_ = 0;
  /// It finishes what it has and takes nothing new.
  bool Leaving_ = false;

  bool operator==(const Member &) const = default;
};

/// The hosts of one availability zone and the leases they hold, as one object
/// of the store: renewing them costs one write for the zone.
struct ZoneRecord {
  base::ZoneId Zone_;
  /// Rises whenever a host is admitted, removed or started anew.
  std::uint64_t Generation_ = 0;
  /// Writes this record on behalf of all.
  base::HostId Relay_;
  /// In order of host names.
  std::vector<Member> Members_;

  const Member *find(const base::HostId &Host) const noexcept {
    for (const Member &Each : Members_)
      if (Each.Host_ == Host)
        return &Each;
    return nullptr;
  }

  bool operator==(const ZoneRecord &) const = default;
};

} // namespace lychee::fleet

#endif
