#ifndef LYCHEE_STEERING_SLOTMESSAGES_H
#define LYCHEE_STEERING_SLOTMESSAGES_H

#include "base/Id.h"
#include "steering/SlotTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lychee::steering {

/// Number of requests that one host has in flight at one target.
struct PeerLoad {
  base::ServiceId Service_;
  base::TargetId Target_;
  std::uint32_t InFlight_ = 0;

  bool operator==(const PeerLoad &) const = default;
};

/// A host's free and used slots of one service in one region.
struct SpareSlots {
  base::ServiceId Service_;
  base::RegionId Region_;
  /// Free slots that the host could grant.
  std::uint32_t Free_ = 0;
  /// Slots that the host has in use.
  std::uint32_t InUse_ = 0;

  bool operator==(const SpareSlots &) const = default;
};

/// A host's load update, sent to all peers about every 50 ms.
struct HostLoadUpdate {
  base::HostId Host_;
  /// Left out where slots are divided, because no peer needs it then.
  std::vector<PeerLoad> Loads_;
  std::vector<SpareSlots> SpareSlots_;
};

/// A host's request for free slots of \p Donor_.
struct SlotRequest {
  base::HostId Requester_;
  base::RegionId RequesterRegion_;
  base::HostId Donor_;
  base::ServiceId Service_;
  base::RegionId Region_;
  std::uint32_t Slots_ = 0;
  /// Slots that the requester has in use: a requester with far fewer than the
  /// donor is granted some although requests wait at the donor too.
  std::uint32_t RequesterInUse_ = 0;
  /// Empty for slots of any target; otherwise slots of this target are
  /// recalled.
  base::TargetId RecallTarget_;
};

/// Slots that \p Donor_ granted, as counts that only rise. \see SlotTable
struct SlotGrant {
  base::HostId Donor_;
  base::HostId Receiver_;
  base::ServiceId Service_;
  base::RegionId Region_;
  std::vector<SlotCount> Counts_;
};

} // namespace lychee::steering

#endif
