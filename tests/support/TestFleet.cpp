#include "support/TestFleet.h"

#include "base/Hash.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lychee::tests {

namespace {

constexpr const char *Token = "test-bootstrap-token-0123456789";
constexpr const char *Secret = "test-fleet-secret-0123456789-0123456789";
constexpr const char *Salt = "00112233445566778899aabbccddeeff";
constexpr std::chrono::milliseconds PollEvery(10);
constexpr int PollLimit = 3000;

/// Each run and each fleet of a run has loopback addresses of its own, so that
/// several run at once.
std::string drawPrefix() {
  static int Fleets = 0;
  const int Number = static_cast<int>(getpid()) * 8 + Fleets++ % 8;
  return "127." + std::to_string(1 + Number % 90) + "." +
         std::to_string(1 + Number / 90 % 250) + ".";
}

std::string makeFolder() {
  std::string Name = std::filesystem::temp_directory_path() / "lycheeXXXXXX";
  return mkdtemp(Name.data());
}

} // namespace

TestFleet::TestFleet(FleetPlan Plan)
    : Plan_(std::move(Plan)), Prefix_(drawPrefix()), Folder_(makeFolder()),
      Key_("parish-1.test-secret-0123456789abcdef") {
  Hosts_.resize(Plan_.HostZones_.size());
  Targets_.resize(Plan_.TargetZones_.size());
}

TestFleet::~TestFleet() {
  Hosts_.clear();
  Targets_.clear();
  Store_.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string TestFleet::address(int Last, int Port) const {
  return Prefix_ + std::to_string(Last) + ":" + std::to_string(Port);
}

std::string TestFleet::callers(std::size_t Host) const {
  return address(10 + static_cast<int>(Host), 23001);
}
std::string TestFleet::peers(std::size_t Host) const {
  return address(10 + static_cast<int>(Host), 23002);
}
std::string TestFleet::metrics(std::size_t Host) const {
  return address(10 + static_cast<int>(Host), 23003);
}
std::string TestFleet::targetAddress(std::size_t Target) const {
  return address(100 + static_cast<int>(Target), 23800);
}
std::string TestFleet::storeAddress() const { return address(2, 23900); }

bool TestFleet::waitFor(const std::function<bool()> &Holds) {
  for (int Poll = 0; Poll < PollLimit; ++Poll) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(PollEvery);
  }
  return false;
}

bool TestFleet::fail(std::string Why) {
  Trouble_ = std::move(Why);
  return false;
}

void TestFleet::writeDocument(const std::string &Path,
                              const std::string &Text) const {
  const std::filesystem::path Full = Folder_ + "/settings/" + Path;
  std::filesystem::create_directories(Full.parent_path());
  std::ofstream(Full) << Text;
}

void TestFleet::writeSettings() const {
  writeDocument("team/team.ini", "[team team]\ntoken_hash = " +
                                     base::sha256Hex("team-token") + "\n");
  writeDocument("network/team.ini", "[team network]\ntoken_hash = " +
                                        base::sha256Hex("network-token") +
                                        "\n");
  writeDocument("network/places.ini", "[region near]\nzones = near-1 near-2\n"
                                      "[region far]\nzones = far-1 far-2\n"
                                      "[link near-far]\nbetween = near far\n"
                                      "capacity = 4Gbit/s\ndelay = 20ms\n");
  writeDocument(
      "team/customers.ini",
      "[customer parish]\nrate = " + std::to_string(Plan_.RatePerSecond_) +
          "\nburst = " + std::to_string(Plan_.Burst_) + "\n");
  writeDocument("team/keys.ini", "[key parish-1]\ncustomer = parish\nsalt = " +
                                     std::string(Salt) + "\nhash = " +
                                     base::sha256Hex(Salt + Key_) + "\n");
  std::string Service = "[service rota]\npath = /\nhosts = rota.example\n"
                        "idempotent = GET HEAD PUT DELETE\n"
                        "deadline = 5s\nwork = 5ms\nbytes = 1KiB\n";
  for (std::size_t Index = 0; Index < Plan_.TargetZones_.size(); ++Index)
    Service += "[target rota-" + std::to_string(Index) +
               "]\nservice = rota\nzone = " + Plan_.TargetZones_[Index] +
               "\naddress = " + targetAddress(Index) +
               "\nslots = " + std::to_string(Plan_.Slots_) +
               "\nconnections = 400\n";
  writeDocument("team/rota.ini", Service);
}

std::string TestFleet::hostFile(std::size_t Index) const {
  const std::string &Zone = Plan_.HostZones_[Index];
  std::string Seeds;
  for (std::size_t Each = 0; Each < Plan_.HostZones_.size() && Each < 3; ++Each)
    Seeds += " " + peers(Each);
  const std::string Path = Folder_ + "/host-" + std::to_string(Index) + ".ini";
  std::ofstream(Path) << "[host]\nname = host-" << Index
                      << "\nregion = " << Zone.substr(0, Zone.rfind('-'))
                      << "\nzone = " << Zone
                      << "\nthreads = 2\n[callers]\nlisten = " << callers(Index)
                      << "\n[peers]\nlisten = " << peers(Index)
                      << "\nseeds =" << Seeds << "\nsecret = " << Secret
                      << "\n[metrics]\nlisten = " << metrics(Index)
                      << "\n[store]\naddress = " << storeAddress()
                      << "\n[operators]\nbootstrap_token_hash = "
                      << base::sha256Hex(Token) << "\n"
                      << Plan_.HostLines_;
  return Path;
}

void TestFleet::startStore() {
  const std::size_t Colon = storeAddress().rfind(':');
  Store_ = std::make_unique<ChildProcess>(
      "lychee-standin-store",
      std::vector<std::string>{"--address", storeAddress().substr(0, Colon),
                               "--port", storeAddress().substr(Colon + 1)},
      Folder_ + "/store.log");
}

void TestFleet::startTarget(std::size_t Index) {
  Targets_.at(Index) = std::make_unique<ChildProcess>(
      "lychee-standin-target",
      std::vector<std::string>{"--listen", targetAddress(Index), "--name",
                               "rota-" + std::to_string(Index), "--slots",
                               std::to_string(Plan_.Slots_), "--work_ms",
                               std::to_string(Plan_.WorkMilliseconds_)},
      Folder_ + "/target-" + std::to_string(Index) + ".log");
}

void TestFleet::startHost(std::size_t Index) {
  Hosts_.at(Index) = std::make_unique<ChildProcess>(
      "lycheed", std::vector<std::string>{"--settings", hostFile(Index)},
      Folder_ + "/host-" + std::to_string(Index) + "-" +
          std::to_string(++Runs_) + ".log");
}

bool TestFleet::start() {
  writeSettings();
  startStore();
  if (!Store_->waitForLog("event=listening"))
    return fail("store: " + Store_->log());
  for (std::size_t Index = 0; Index < Targets_.size(); ++Index)
    startTarget(Index);
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    startHost(Index);
  for (const auto &Each : Targets_)
    if (!Each->waitForLog("event=listening"))
      return fail("target: " + Each->log());
  for (const auto &Each : Hosts_)
    if (!Each->waitForLog("event=serving"))
      return fail("host: " + Each->log());
  const Finished Applied = apply();
  if (Applied.ExitCode_ != 0)
    return fail("apply: " + Applied.Output_);
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    if (!waitFor(
            [&] { return call(callers(Index), request()).Status_ == 200; }))
      return fail("host " + std::to_string(Index) +
                  " does not answer: " + call(callers(Index), request()).Body_);
  return true;
}

CallerRequest TestFleet::request(const std::string &Method,
                                 const std::string &Path) const {
  CallerRequest Made;
  Made.Method_ = Method;
  Made.Target_ = Path;
  Made.Headers_["Authorization"] = "Bearer " + Key_;
  return Made;
}

Finished TestFleet::lychee(std::vector<std::string> Words, std::size_t Host) {
  for (const std::string &Each : std::vector<std::string>{
           "--server", peers(Host), "--token", Token, "--author", "test"})
    Words.push_back(Each);
  return runProgram("lychee", Words,
                    Folder_ + "/lychee-" + std::to_string(++Runs_) + ".log");
}

Finished TestFleet::apply(std::size_t Host) {
  return lychee({"apply", Folder_ + "/settings", "--wait"}, Host);
}

} // namespace lychee::tests
