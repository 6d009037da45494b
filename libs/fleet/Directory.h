#ifndef LYCHEE_FLEET_DIRECTORY_H
#define LYCHEE_FLEET_DIRECTORY_H

#include "base/Id.h"
#include "fleet/Member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// All hosts of the fleet by zone, stored as one object. It changes only when
/// the members or the relay of a zone change, never when leases are renewed.
struct Directory {
  static constexpr std::string_view Path = "fleet/directory";

  struct Zone {
    std::uint64_t Generation_ = 0;
    base::HostId Relay_;
    std::vector<Member> Members_;

    bool operator==(const Zone &) const = default;
  };

  /// The membership epoch: rises when a zone is added or a zone's generation
  /// rises.
  std::uint64_t Epoch_ = 0;
  std::map<base::ZoneId, Zone> Zones_;

  std::size_t hostCount() const noexcept;
  const Member *find(const base::HostId &Host) const noexcept;

  /// \returns the directory updated with the zone in \p Record; nothing if that
  /// changes nothing.
  std::optional<Directory> withZone(const ZoneRecord &Record) const;

  bool operator==(const Directory &) const = default;
};

} // namespace lychee::fleet

#endif
