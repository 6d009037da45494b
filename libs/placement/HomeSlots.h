#ifndef LYCHEE_PLACEMENT_HOMESLOTS_H
#define LYCHEE_PLACEMENT_HOMESLOTS_H

#include "base/Id.h"

#include <cstdint>
#include <span>

namespace lychee::placement {

/// A host that sends to a pool, with its share of the pool's traffic.
struct HostWeight {
  base::HostId Host_;
  /// Relative to the weights of the other hosts; above zero.
  double Weight_ = 1;
};

/// \returns the number of slots of \p Target whose home is \p Self. Each slot
/// has exactly one home host, chosen by weighted rendezvous hashing: the home
/// slots of all hosts add up to all slots, a host's number of home slots is
/// proportional to its weight, and a changed weight or a lost host moves no
/// more slots than necessary.
///
/// Load pattern: 8 to 12 hosts share targets with 3 or 4 slots and learn of
/// each other's sends only long after these have ended. Hosts that all prefer
/// the least loaded target collide there; a host that uses its home slots first
/// collides with no other host until its share is used up. \see TargetPool
std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const HostWeight &Self,
                        std::span<const HostWeight> Others) noexcept;

/// The same with equal weights, for divisions that all hosts must compute
/// identically from the list of members alone.
std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const base::HostId &Self,
                        std::span<const base::HostId> Others);

} // namespace lychee::placement

#endif
