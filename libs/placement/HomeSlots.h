#ifndef LYCHEE_PLACEMENT_HOMESLOTS_H
#define LYCHEE_PLACEMENT_HOMESLOTS_H

#include "base/Id.h"

#include <cstdint>
#include <span>

namespace lychee::placement {

/// A host that sends to a pool, and how much of the work it brings.
struct HostWeight {
  base::HostId Host_;
  /// Relative to the others; above zero.
  double Weight_ = 1;
};

/// \returns how many of the slots of \p Target are the home of \p Self: each
/// slot belongs to one host by weighted rendezvous hashing, so that the hosts'
/// home slots add up to all slots, a host has as many as its weight demands,
/// and a changed weight or a lost host moves only the slots that it must.
///
/// Load pattern: targets with 3 or 4 slots, shared by 8 to 12 hosts that learn
/// of each other's sends long after they have ended. Hosts that all prefer the
/// least loaded target meet there; a host that begins with its own slots meets
/// no one until its share is used up. \see TargetPool
std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const HostWeight &Self,
                        std::span<const HostWeight> Others) noexcept;

/// The same with equal weights, where all hosts must come to the same result
/// from the list of members alone.
std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const base::HostId &Self,
                        std::span<const base::HostId> Others);

} // namespace lychee::placement

#endif
