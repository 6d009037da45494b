#ifndef LYCHEE_FLEET_FLEETLISTENERS_H
#define LYCHEE_FLEET_FLEETLISTENERS_H

#include "fleet/Directory.h"
#include "settings/SettingsTree.h"

#include <functional>
#include <string_view>

namespace lychee::fleet {

/// Callbacks for changes of the fleet. Called from I/O threads, one at a time;
/// they must not block. Each may be empty.
struct FleetListeners {
  std::function<void(const settings::SettingsTree &)> SettingsApplied_;
  std::function<void(const Directory &)> DirectoryChanged_;
  /// Receives one event as a line of key=value pairs.
  std::function<void(std::string_view)> Log_;
};

} // namespace lychee::fleet

#endif
