#ifndef LYCHEE_APPS_LYCHEED_SETTINGSHOLDER_H
#define LYCHEE_APPS_LYCHEED_SETTINGSHOLDER_H

#include "lycheed/SettingsSnapshot.h"
#include "settings/SettingsTree.h"

#include <memory>
#include <mutex>

namespace lychee::daemon {

/// The settings in force on this host. Versions only rise: one that arrives
/// late, from a relay that lagged, changes nothing. Thread-safe; the lock is
/// held for the copy of a pointer only.
class SettingsHolder {
public:
  explicit SettingsHolder(base::RegionId Home);
  SettingsHolder(const SettingsHolder &) = delete;
  SettingsHolder &operator=(const SettingsHolder &) = delete;

  /// \returns null before the first settings.
  std::shared_ptr<const SettingsSnapshot> current() const;

  /// Parses \p Tree and puts it in force if it is newer.
  /// \returns the snapshot that came in force, null where none did, with all
  /// problems found.
  std::shared_ptr<const SettingsSnapshot>
  offer(const settings::SettingsTree &Tree, settings::Problems &Found);

private:
  const base::RegionId Home_;
  mutable std::mutex Lock_;
  std::shared_ptr<const SettingsSnapshot> Current_;
};

} // namespace lychee::daemon

#endif
