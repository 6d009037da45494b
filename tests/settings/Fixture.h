#ifndef LYCHEE_TESTS_SETTINGS_FIXTURE_H
#define LYCHEE_TESTS_SETTINGS_FIXTURE_H

#include "settings/DaemonSettings.h"
#include "settings/SettingsTree.h"
#include "support/Require.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace lychee::tests {

inline std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

/// \returns the documents of one of the worked trees under examples/.
inline settings::SettingsTree readExample(const std::string &Deployment) {
  const std::filesystem::path Root = std::filesystem::path(LYCHEE_SOURCE_DIR) /
                                     "examples" / Deployment / "settings";
  settings::SettingsTree Tree;
  Tree.Version_ = 1;
  for (const auto &Entry : std::filesystem::recursive_directory_iterator(Root))
    if (Entry.path().extension() == ".ini")
      Tree.Documents_[std::filesystem::relative(Entry.path(), Root).string()] =
          readFile(Entry.path());
  return Tree;
}

/// \returns all problems, one a line.
inline std::string describeAll(const settings::Problems &Found) {
  std::string Text;
  for (const settings::Problem &Each : Found)
    Text += Each.describe() + "\n";
  return Text;
}

/// Replaces the first \p From in a document, which must be there.
inline void edit(settings::SettingsTree &Tree, const std::string &Path,
                 std::string_view From, std::string_view To) {
  std::string &Text = Tree.Documents_.at(Path);
  Text.replace(Text.find(From), From.size(), To);
}

} // namespace lychee::tests

#endif
