#ifndef LYCHEE_PLACEMENT_REGIONCHOOSER_H
#define LYCHEE_PLACEMENT_REGIONCHOOSER_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace lychee::placement {

/// A region that could take a request, as things stand.
struct RegionOption {
  /// Targets that get work there. \see PoolState
  std::uint32_t Usable_ = 0;
  /// True where this host knows of a free slot.
  bool Room_ = false;
  /// Wait in this host's line for the region, where there is no room.
  base::Duration Wait_{};
  /// Time that the way there and back adds; zero for the nearest.
  base::Duration RoundTrip_{};
  /// Whether this host may still steer work into the region, of its share of
  /// the region's headroom. Not asked for the caller's own region.
  bool Headroom_ = true;
  /// Whether this host's share of the link's rate lets the request pass.
  bool Link_ = true;
};

/// The region that takes a request, and why.
struct RegionChoice {
  /// Position in the options; nothing where the request is refused.
  std::optional<std::size_t> Region_;
  /// "nearest", "nearest-wait", "spill-full", "spill-lost"; without a region
  /// "no-healthy-target", "no-headroom" or "no-link".
  std::string_view Reason_;
};

/// Which region takes a request: the nearest that can.
///
/// Load patterns: a region's targets are full or lost. Sending everything that
/// does not fit to the next region takes that down too, and its callers with
/// it. So work is steered away only as far as the other region's headroom and
/// the link allow, both shares of a total over all hosts; what is left waits
/// or is refused. And only where it gains time: a short wait at home beats a
/// 40 ms round trip to another region's cold cache.
///
/// Thread-safe: no state.
class RegionChooser {
public:
  /// A wait at home must be longer than the other round trip by this factor
  /// before work is steered away: estimates of waits are off by about as much,
  /// and steered work meets a cold cache.
  static constexpr int WaitFactor = 2;

  /// \param Options  the regions for this caller in order of preference, the
  /// first being its own.
  static RegionChoice choose(std::span<const RegionOption> Options) noexcept;
};

} // namespace lychee::placement

#endif
