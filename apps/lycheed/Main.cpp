#include "lycheed/Daemon.h"
#include "reporting/Log.h"
#include "settings/DaemonSettings.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(settings, "", "INI file of this daemon; see docs/SETTINGS.md");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

constexpr int ExitBadSettings = 2;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::optional<lychee::settings::DaemonSettings>
readSettings(const std::string &Path) {
  const std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read\n";
    return std::nullopt;
  }
  lychee::settings::Problems Found;
  auto Settings = lychee::settings::parseDaemonSettings(*Text, Path, Found);
  for (const lychee::settings::Problem &Each : Found)
    std::cerr << Each.describe() << '\n';
  return Settings;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("one host of a lycheespoke fleet\n"
                          "  lycheed --settings FILE.ini [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const auto Settings = readSettings(FLAGS_settings);
  if (!Settings)
    return ExitBadSettings;
  if (FLAGS_check)
    return 0;
  lychee::reporting::configureLog(Settings->LogLevel_);
  return lychee::daemon::Daemon(*Settings).run();
}
