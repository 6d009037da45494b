#ifndef LYCHEE_APPS_LYCHEED_SETTINGSFILE_H
#define LYCHEE_APPS_LYCHEED_SETTINGSFILE_H

#include "settings/DaemonSettings.h"

#include <string>

namespace lychee::daemon {

/// Reads a daemon's settings from a file.
/// \returns nothing, and at least one problem, where anything is wrong.
std::optional<settings::DaemonSettings>
readSettingsFile(const std::string &Path, settings::Problems &Found);

} // namespace lychee::daemon

#endif
