#include "fleet/FreshnessVote.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

/// Keeps the later statement of one voter.
void keepLater(Freshness &Known, const Freshness &Stated) {
  if (Known.At_ <= Stated.At_)
    Known = Stated;
}

/// What two know together: as much as the better informed, as old as the older.
Freshness together(const Freshness &Left, const Freshness &Right) {
  return {std::max(Left.Version_, Right.Version_),
          std::min(Left.At_, Right.At_)};
}

} // namespace

void FreshnessVote::stated(const base::HostId &Host, const Freshness &Stated) {
  keepLater(Hosts_[Host], Stated);
}

void FreshnessVote::learned(const base::ZoneId &Zone, const Freshness &Stated) {
  keepLater(Zones_[Zone], Stated);
}

std::optional<Freshness>
FreshnessVote::ofZone(std::span<const base::HostId> Voters) const {
  std::optional<Freshness> All;
  for (const base::HostId &Each : Voters) {
    const auto Found = Hosts_.find(Each);
    if (Found == Hosts_.end())
      return std::nullopt;
    All = All ? together(*All, Found->second) : Found->second;
  }
  return All;
}

std::optional<Freshness>
FreshnessVote::ofFleet(const std::optional<Freshness> &Own,
                       std::span<const base::ZoneId> Others) const {
  std::optional<Freshness> All = Own;
  for (const base::ZoneId &Each : Others) {
    const auto Found = Zones_.find(Each);
    if (!All || Found == Zones_.end())
      return std::nullopt;
    All = together(*All, Found->second);
  }
  return All;
}

} // namespace lychee::fleet
