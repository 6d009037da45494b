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

/// "At At_, nobody among these knew a newer settings root than Version_."
struct Freshness {
  std::uint64_t Version_ = 0;
  base::TimePoint At_;
};

/// Freshness without the store: whoever makes a change knows of it, and every
/// change is made by a host with a standing lease; so when all such hosts say
/// that they know nothing newer, there is nothing newer. Lets the fleet go on
/// through a store outage, and not a host that is cut off from any other.
///
/// A statement counts from a moment before it was made, by this host's clock:
/// one that was long on its way proves nothing about the time it came in.
/// \see docs/design/settings-spread.md
class FreshnessVote {
public:
  /// A member of the own zone knows nothing newer than \p Stated.
  void stated(const base::HostId &Host, const Freshness &Stated);

  /// All hosts of another zone know nothing newer than \p Stated.
  void learned(const base::ZoneId &Zone, const Freshness &Stated);

  /// \param Voters  the hosts of the own zone whose leases may stand.
  /// \returns what they say together; nothing where one has said nothing.
  std::optional<Freshness> ofZone(std::span<const base::HostId> Voters) const;

  /// \param Others  every other zone with hosts.
  /// \returns what all say together; nothing where a zone is missing.
  std::optional<Freshness> ofFleet(const std::optional<Freshness> &Own,
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
