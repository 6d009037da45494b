#ifndef LYCHEE_FLEET_MEMBER_H
#define LYCHEE_FLEET_MEMBER_H

#include "base/Id.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// One host of the fleet, as listed in its zone's record.
struct Member {
  base::HostId Host_;
  base::RegionId Region_;
  /// IP:PORT of the listener for peers and operators, and of the one for
  /// callers.
  std::string PeerAddress_;
  std::string CallerAddress_;
  /// Rises with each start of the process.
  std::uint64_t Incarnation_ = 0;
  /// Sequence number of the newest heartbeat in the record. The host's lease
  /// counts from when it sent that heartbeat.
  std::uint64_t Sequence_ = 0;
  /// The generation of the record that admitted this host.
  std::uint64_t AdmissionGeneration_ = 0;
  /// The newest generation that this host has acknowledged.
  std::uint64_t KnownGeneration_ = 0;
  /// Completes its requests in progress and accepts no new ones.
  bool Leaving_ = false;

  bool operator==(const Member &) const = default;
};

/// The hosts of one availability zone and their leases, stored as one object,
/// so that renewing all of them costs one write for the zone.
struct ZoneRecord {
  base::ZoneId Zone_;
  /// Rises whenever a host is admitted, removed, restarted, or starts to leave.
  std::uint64_t Generation_ = 0;
  /// The host that writes this record on behalf of all.
  base::HostId Relay_;
  /// Ordered by host name.
  std::vector<Member> Members_;

  const Member *find(const base::HostId &Host) const noexcept {
    for (const Member &Entry : Members_)
      if (Entry.Host_ == Host)
        return &Entry;
    return nullptr;
  }

  bool operator==(const ZoneRecord &) const = default;
};

} // namespace lychee::fleet

#endif
