#ifndef LYCHEE_PLACEMENT_HOMESLOTS_H
#define LYCHEE_PLACEMENT_HOMESLOTS_H

#include "base/Id.h"

#include <cstdint>
#include <span>

namespace lychee::placement {

/// \returns how many of the slots of \p Target are the home of \p Self: each
/// slot belongs to one host of \p Members by rendezvous hashing, so that the
/// hosts' home slots add up to all slots, and only a lost host's slots move.
///
/// Load pattern: targets with 3 or 4 slots, shared by 8 to 12 hosts that learn
/// of each other's sends tens of milliseconds late. Hosts that all prefer the
/// least loaded target meet there; a host that begins with its own slots meets
/// no one until its share is used up. \see TargetPool
std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const base::HostId &Self,
                        std::span<const base::HostId> Members) noexcept;

} // namespace lychee::placement

#endif
