#ifndef LYCHEE_PLACEMENT_REGIONCHOOSER_H
#define LYCHEE_PLACEMENT_REGIONCHOOSER_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace lychee::placement {

/// A candidate region for a request, with its current state.
struct RegionOption {
  /// Number of targets that accept new requests. \see PoolState
  std::uint32_t UsableTargets_ = 0;
  /// Whether this host knows of a free slot.
  bool HasFreeSlot_ = false;
  /// Expected wait in this host's queue for the region; used only where no slot
  /// is free.
  base::Duration ExpectedWait_{};
  /// Added round trip time; zero for the nearest region.
  base::Duration RoundTrip_{};
  /// Whether this host's share of the region's headroom lets it steer more
  /// requests there. Ignored for the caller's own region.
  bool HasHeadroom_ = true;
  /// Whether this host's share of the link's rate lets the request pass.
  bool LinkHasCapacity_ = true;
};

/// The chosen region and the reason.
struct RegionChoice {
  /// Index in the options; empty where the request is refused.
  std::optional<std::size_t> Region_;
  /// "nearest", "nearest-wait", "spill-full" or "spill-lost"; without a region
  /// "no-healthy-target", "no-headroom" or "no-link".
  std::string_view Reason_;
};

/// Chooses the region for a request: the nearest one that can serve it.
///
/// Load patterns: a region's targets are full or lost. Sending all of the
/// excess to the next region overloads that region and its own callers too.
/// Requests are therefore steered away only within the other region's headroom
/// and the rate of the link, both divided among all hosts; the rest waits or is
/// refused. They are steered away only where this saves time: a short wait at
/// home beats a 40 ms round trip to a region with cold caches.
///
/// Thread-safe: stateless.
class RegionChooser {
public:
  /// The wait in the nearest region must exceed the other region's round trip
  /// by this factor before a request is steered away: wait estimates are off by
  /// about as much, and steered requests find cold caches.
  static constexpr int WaitFactor = 2;

  /// \param Options  the candidate regions in the caller's order of preference,
  /// the caller's own region first.
  static RegionChoice choose(std::span<const RegionOption> Options) noexcept;
};

} // namespace lychee::placement

#endif
