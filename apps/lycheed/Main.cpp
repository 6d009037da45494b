#include "lycheed/Daemon.h"
#include "lycheed/LiveDaemon.h"
#include "lycheed/SettingsFile.h"
#include "platform/BoundsDecoder.h"
#include "reporting/Log.h"

#include <charconv>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <optional>

DEFINE_string(settings, "", "INI file of this daemon; see docs/SETTINGS.md");
DEFINE_string(descriptors, "",
              "descriptors of this process, in place of [host] descriptors; "
              "empty: as the file says");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

constexpr int ExitBadSettings = 2;

/// \returns the figures that the deployment promises; nothing, with a line on
/// standard error, where one cannot be read.
std::optional<lychee::live::DeploymentBounds>
readBounds(const lychee::settings::LiveSettings &Live) {
  std::string Line;
  for (const std::string &Each : Live.Bounds_)
    Line += (Line.empty() ? "" : ",") + Each;
  lychee::base::Error Last;
  auto Bounds = lychee::platform::decodeBounds(Line, Last);
  if (!Bounds) {
    std::cerr << FLAGS_settings << ": [live] bound: " << Last.Reason_ << '\n';
    return std::nullopt;
  }
  lychee::live::LoadFeatures &Features = Bounds->Features_;
  Features = lychee::platform::decodeContracts(Live.Contracts_);
  Features.FairShares_ = Features.FairShares_ || Live.FairShares_;
  Features.PacedReturns_ = Features.PacedReturns_ || Live.PacedReturns_;
  Features.LeadingSplit_ = Features.LeadingSplit_ || Live.LeadingSplit_;
  return Bounds;
}

/// Takes the number of descriptors from the command line.
/// \returns false, with a line on standard error, where it is none.
bool takeDescriptors(lychee::settings::DaemonSettings &Into) {
  const std::string &Text = FLAGS_descriptors;
  if (Text.empty())
    return true;
  std::uint32_t Read = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Read);
  constexpr std::uint32_t Least = 64;
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Read < Least) {
    std::cerr << "--descriptors: found " << Text << ", allowed a number from "
              << Least << '\n';
    return false;
  }
  Into.Descriptors_ = Read;
  return true;
}

/// One arena for the two threads that allocate, and freed memory goes back to
/// the system early: 6.4 MB in place of 7.7 MB at a host's peak on a calm day
/// of 12 hosts, and no more processor time.
void keepMemorySmall() {
  constexpr int Arenas = 1;
  constexpr int ReturnedBytes = 64 << 10;
  mallopt(M_ARENA_MAX, Arenas);
  mallopt(M_MMAP_THRESHOLD, ReturnedBytes);
  mallopt(M_TRIM_THRESHOLD, ReturnedBytes);
}

/// Checks and runs a host where intent and targets are live.
int runLive(const lychee::settings::DaemonSettings &Settings,
            const lychee::settings::LiveSettings &Live) {
  const auto Bounds = readBounds(Live);
  if (!Bounds)
    return ExitBadSettings;
  if (FLAGS_check)
    return 0;
  keepMemorySmall();
  lychee::reporting::configureLog(Settings.LogLevel_, true);
  return lychee::daemon::LiveDaemon(Settings, Live, *Bounds, FLAGS_settings)
      .run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("one host of a lycheespoke fleet\n"
                          "  lycheed --settings FILE.ini [--descriptors N] "
                          "[--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lychee::settings::Problems Found;
  auto Settings = lychee::daemon::readSettingsFile(FLAGS_settings, Found);
  for (const lychee::settings::Problem &Each : Found)
    std::cerr << Each.describe() << '\n';
  if (!Settings || !takeDescriptors(*Settings))
    return ExitBadSettings;
  if (Settings->Live_)
    return runLive(*Settings, *Settings->Live_);
  if (FLAGS_check)
    return 0;
  lychee::reporting::configureLog(Settings->LogLevel_);
  return lychee::daemon::Daemon(*Settings).run();
}
