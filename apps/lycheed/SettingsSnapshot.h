#ifndef LYCHEE_APPS_LYCHEED_SETTINGSSNAPSHOT_H
#define LYCHEE_APPS_LYCHEED_SETTINGSSNAPSHOT_H

#include "settings/ClientTable.h"
#include "settings/Intent.h"
#include "settings/KeyRing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::daemon {

/// One version of the operators' settings with everything that is derived from
/// it for the data path: key ring, client table, and the order of regions for
/// each site. Immutable; requests that began under a version end under it.
/// \see SettingsHolder
class SettingsSnapshot {
public:
  /// \param Home  the region this host stands in: the first choice of callers
  /// whose site is unknown.
  SettingsSnapshot(std::shared_ptr<const settings::Intent> Intent,
                   const base::RegionId &Home, const SettingsSnapshot *Before);

  const std::shared_ptr<const settings::Intent> &intent() const noexcept {
    return Intent_;
  }
  const settings::KeyRing &keys() const noexcept { return Keys_; }

  /// \returns the service a request asks for, or null.
  const settings::Service *findService(std::string_view Name,
                                       std::string_view Host,
                                       std::string_view Path) const;

  /// \returns regions for a caller, nearest first.
  /// \param Address  IPv4 address in host byte order.
  const std::vector<base::RegionId> &preference(std::uint32_t Address) const;

private:
  std::vector<base::RegionId> byDelayFrom(const base::RegionId &Home) const;

  std::shared_ptr<const settings::Intent> Intent_;
  settings::KeyRing Keys_;
  settings::ClientTable Clients_;
  std::vector<base::RegionId> HomePreference_;
  /// By position in Intent::SiteOrder_.
  std::vector<std::vector<base::RegionId>> SitePreference_;
  std::map<std::string, const settings::Service *, std::less<>> ByHost_;
  /// Longest first.
  std::vector<std::pair<std::string, const settings::Service *>> ByPath_;
};

} // namespace lychee::daemon

#endif
