#ifndef LYCHEE_SETTINGS_SETTINGSTREE_H
#define LYCHEE_SETTINGS_SETTINGSTREE_H

#include "settings/Intent.h"
#include "settings/Problem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lychee::settings {

/// The operators' INI documents under their paths, "TEAM/NAME.ini", one
/// subtree a team, with the version that the store gave to the whole.
struct SettingsTree {
  std::uint64_t Version_ = 0;
  std::map<std::string, std::string> Documents_;
};

/// Parses all documents and checks them against one another.
/// \returns nothing, and all problems at once, where anything is wrong.
std::optional<Intent> parseIntent(const SettingsTree &Tree, Problems &Found);

} // namespace lychee::settings

#endif
