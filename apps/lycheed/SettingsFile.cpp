#include "lycheed/SettingsFile.h"

#include <fstream>
#include <sstream>

namespace lychee::daemon {

std::optional<settings::DaemonSettings>
readSettingsFile(const std::string &Path, settings::Problems &Found) {
  const std::ifstream File(Path, std::ios::binary);
  if (!File) {
    Found.push_back(
        {Path, 0, "", "a file that cannot be read", "a readable file"});
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return settings::parseDaemonSettings(Text.str(), Path, Found);
}

} // namespace lychee::daemon
