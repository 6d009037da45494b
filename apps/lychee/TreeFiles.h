#ifndef LYCHEE_APPS_LYCHEE_TREEFILES_H
#define LYCHEE_APPS_LYCHEE_TREEFILES_H

#include "base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lychee::command {

/// A folder with one folder a team, as operators keep it.
struct TreeFiles {
  /// Texts by path below the folder, "TEAM/NAME.ini".
  std::map<std::string, std::string> Documents_;
  std::set<std::string> Teams_;
  /// The settings' version that the folder was written at by `show --out`, or
  /// last applied as; nothing where it does not tell.
  std::optional<std::uint64_t> Version_;
};

/// Reads every .ini file below the teams' folders.
/// \param Team  the only team to read; empty for all.
std::optional<TreeFiles> readTree(const std::string &Folder,
                                  const std::string &Team, base::Error &Last);

/// Writes documents below \p Folder and remembers the version. Other files of
/// the folder stay.
bool writeTree(const std::string &Folder,
               const std::map<std::string, std::string> &Documents,
               std::uint64_t Version, base::Error &Last);

bool writeVersion(const std::string &Folder, std::uint64_t Version,
                  base::Error &Last);

} // namespace lychee::command

#endif
