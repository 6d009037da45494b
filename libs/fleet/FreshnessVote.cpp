#include "fleet/FreshnessVote.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

/// Replaces \p Known unless \p Statement is older.
void keepLatest(Freshness &Known, const Freshness &Statement) {
  if (Known.At_ <= Statement.At_)
    Known = Statement;
}

/// Combines two statements: the newer version, known at the earlier time.
Freshness combine(const Freshness &Left, const Freshness &Right) {
  return {std::max(Left.Version_, Right.Version_),
          std::min(Left.At_, Right.At_)};
}

} // namespace

void FreshnessVote::recordHost(const base::HostId &Host,
                               const Freshness &Statement) {
  keepLatest(Hosts_[Host], Statement);
}

void FreshnessVote::recordZone(const base::ZoneId &Zone,
                               const Freshness &Statement) {
  keepLatest(Zones_[Zone], Statement);
}

std::optional<Freshness>
FreshnessVote::zoneFreshness(std::span<const base::HostId> Voters) const {
  std::optional<Freshness> Combined;
  for (const base::HostId &Voter : Voters) {
    const auto Found = Hosts_.find(Voter);
    if (Found == Hosts_.end())
      return std::nullopt;
    Combined = Combined ? combine(*Combined, Found->second) : Found->second;
  }
  return Combined;
}

std::optional<Freshness>
FreshnessVote::fleetFreshness(const std::optional<Freshness> &Own,
                              std::span<const base::ZoneId> Others) const {
  std::optional<Freshness> Combined = Own;
  for (const base::ZoneId &Zone : Others) {
    const auto Found = Zones_.find(Zone);
    if (!Combined || Found == Zones_.end())
      return std::nullopt;
    Combined = combine(*Combined, Found->second);
  }
  return Combined;
}

} // namespace lychee::fleet
