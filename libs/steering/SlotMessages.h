#ifndef LYCHEE_STEERING_SLOTMESSAGES_H
#define LYCHEE_STEERING_SLOTMESSAGES_H

#include "base/Id.h"
#include "steering/SlotTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lychee::steering {

/// How many requests one host has in flight at one target.
struct PeerLoad {
  base::ServiceId Service_;
  base::TargetId Target_;
  std::uint32_t InFlight_ = 0;

  bool operator==(const PeerLoad &) const = default;
};

/// How a host stands with one service in one region.
struct SpareSlots {
  base::ServiceId Service_;
  base::RegionId Region_;
  /// Free slots that it could give.
  std::uint32_t Free_ = 0;
  /// Slots that it has in use.
  std::uint32_t InUse_ = 0;

  bool operator==(const SpareSlots &) const = default;
};

/// What a host tells all others about every 50 ms.
struct HostLoadUpdate {
  base::HostId Host_;
  /// Left out where slots are divided, as no one needs it then.
  std::vector<PeerLoad> Loads_;
  std::vector<SpareSlots> SpareSlots_;
};

/// A host's wish for slots that \p Donor_ has free.
struct SlotRequest {
  base::HostId Requester_;
  base::RegionId RequesterRegion_;
  base::HostId Donor_;
  base::ServiceId Service_;
  base::RegionId Region_;
  std::uint32_t Slots_ = 0;
  /// Slots that the asker has in use: one that has fewer than the donor gets
  /// some although requests wait there too.
  std::uint32_t RequesterInUse_ = 0;
  /// Empty for any; else slots of this target are wanted back.
  base::TargetId RecallTarget_;
};

/// Slots that \p Donor_ gave, as counts that only rise. \see SlotTable
struct SlotGrant {
  base::HostId Donor_;
  base::HostId Receiver_;
  base::ServiceId Service_;
  base::RegionId Region_;
  std::vector<SlotCount> Counts_;
};

} // namespace lychee::steering

#endif
