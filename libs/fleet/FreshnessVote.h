#ifndef LYCHEE_FLEET_FRESHNESSVOTE_H
#define LYCHEE_FLEET_FRESHNESSVOTE_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lychee::fleet {

/// States that at At_ none of the hosts concerned knew a settings root newer
/// than Version_.
struct Freshness {
  std::uint64_t Version_ = 0;
  base::TimePoint At_;
};

/// Confirms that settings are fresh without the store. The host that writes a
/// change knows of it, and every change is written by a host with a valid
/// lease; so when all such hosts state that they know nothing newer, nothing
/// newer exists. This keeps the fleet running through a store outage, but not a
/// host that is cut off from any other.
///
/// A statement counts from a moment before it was made, by this host's clock,
/// since one that was delayed proves nothing about the time at which it
/// arrived.
/// \see docs/design/settings-spread.md
class FreshnessVote {
public:
  /// Records that \p Host, a member of the own zone, knows nothing newer than
  /// \p Statement.
  void recordHost(const base::HostId &Host, const Freshness &Statement);

  /// Records that no host of \p Zone, another zone, knows anything newer than
  /// \p Statement.
  void recordZone(const base::ZoneId &Zone, const Freshness &Statement);

  /// \param Voters  the hosts of the own zone whose leases may be valid.
  /// \returns their combined statement; nothing if one of them made none.
  std::optional<Freshness>
  zoneFreshness(std::span<const base::HostId> Voters) const;

  /// \param Others  every other zone that has hosts.
  /// \returns the combined statement of all zones; nothing if one is missing.
  std::optional<Freshness>
  fleetFreshness(const std::optional<Freshness> &Own,
                 std::span<const base::ZoneId> Others) const;

  const std::map<base::ZoneId, Freshness> &zones() const noexcept {
    return Zones_;
  }

private:
  std::map<base::HostId, Freshness> Hosts_;
  std::map<base::ZoneId, Freshness> Zones_;
};

} // namespace lychee::fleet

#endif
