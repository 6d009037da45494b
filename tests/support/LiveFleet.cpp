#include "support/LiveFleet.h"

#include "platform/Names.h"
#include "support/TestFleet.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <json/writer.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace lychee::tests {

namespace {

constexpr std::uint16_t StorePort = 7000;
/// Last part of the addresses: hosts from 1, the store, proxies after it.
constexpr int StorePart = 99;
constexpr int StoreLinkPart = 100;
constexpr int TargetLinkPart = 150;

Json::Value listOf(std::initializer_list<Json::Value> Values) {
  Json::Value Made(Json::arrayValue);
  for (const Json::Value &Each : Values)
    Made.append(Each);
  return Made;
}

} // namespace

LiveFleet::LiveFleet(LiveFleetSize Size) : Size_(std::move(Size)) {
  Folder_ = std::filesystem::temp_directory_path() /
            ("lychee-live-" + Size_.Base_ + std::to_string(getpid()));
  std::filesystem::create_directories(Folder_);
  const std::string Store = Size_.Base_ + std::to_string(StorePart);
  base::Error Last;
  Objects_ = std::make_unique<standins::StandinObjects>(Store, StorePort);
  if (!Objects_->start(Last))
    throw std::runtime_error(Last.describe());
  for (std::size_t Each = 0; Each < Size_.Targets_; ++Each) {
    standins::target::TargetSettings Settings;
    Settings.Name_ = "t" + std::to_string(Each);
    const gateway::Vocabulary Names = platform::vocabulary();
    Settings.RateHeader_ = Names.TargetRate_.front();
    Settings.LeavingHeader_ = Names.TargetLeaving_.front();
    Settings.NotRunLine_ = Names.NotRun_ + ": 1";
    Settings.LoadHeader_ = Names.TargetLoad_;
    Settings.HasSlowSpans_ = true;
    Targets_.push_back(
        std::make_unique<standins::target::TargetServer>(Settings));
    Targets_.back()->start();
    if (Size_.HasProxies_)
      TargetLinks_.push_back(std::make_unique<standins::LoopbackProxy>(
          Size_.Base_ + std::to_string(TargetLinkPart + Each) + ":7100",
          Targets_.back()->address()));
    writeEntry(Each, "ready");
  }
  writeIntent(1, "first-key");
  for (std::size_t Each = 0; Each < Size_.Hosts_; ++Each) {
    if (Size_.HasProxies_)
      StoreLinks_.push_back(std::make_unique<standins::LoopbackProxy>(
          Size_.Base_ + std::to_string(StoreLinkPart + Each) + ":7000",
          Store + ":" + std::to_string(StorePort)));
    Hosts_.emplace_back();
    startHost(Each);
  }
}

LiveFleet::~LiveFleet() {
  Hosts_.clear();
  StoreLinks_.clear();
  TargetLinks_.clear();
  Targets_.clear();
  Objects_.reset();
  std::filesystem::remove_all(Folder_);
}

std::string LiveFleet::at(std::size_t Host, int Port) const {
  return Size_.Base_ + std::to_string(Host + 1) + ":" + std::to_string(Port);
}

std::string LiveFleet::source(std::size_t Host) const {
  return Size_.Base_ + std::to_string(Host + 1);
}

std::string LiveFleet::logPath(std::size_t Host) const {
  return Folder_ + "/host-" + std::to_string(Host) + ".log";
}

void LiveFleet::startHost(std::size_t Index) {
  const std::string Path = Folder_ + "/host-" + std::to_string(Index) + ".ini";
  const int Store =
      Size_.HasProxies_ ? StoreLinkPart + static_cast<int>(Index) : StorePart;
  std::ofstream(Path) << "[host]\nname = host-" << Index
                      << "\nregion = near\nzone = near-1\nthreads = 1\n"
                      << "source = " << source(Index) << "\n"
                      << "[callers]\nlisten = " << at(Index, 7001)
                      << "\n[metrics]\nlisten = " << at(Index, 7002)
                      << "\n[store]\naddress = " << Size_.Base_ << Store
                      << ":7000\n"
                      << "[live]\ndirectory = " << at(Index, 7003)
                      << "\nreadiness = " << at(Index, 7004)
                      << "\nheartbeats = " << at(Index, 7005)
                      << "\nrelays = " << at(Index, 7007)
                      << "\nseeds = " << at(0, 7005) << ' ' << at(1, 7005)
                      << "\nbound = revokeMs=5000\nbound = graceS=6\n"
                      << "fair_shares = yes\npaced_returns = yes\n"
                      << "leading_split = yes\n"
                      << "[zone near-1]\nregion = near\n";
  Hosts_[Index].reset();
  std::vector<std::string> Arguments = {"--settings", Path};
  if (Size_.Argument_)
    Arguments.push_back(*Size_.Argument_);
  Hosts_[Index] =
      std::make_unique<ChildProcess>("lycheed", Arguments, logPath(Index));
}

void LiveFleet::setTargetLinks(std::size_t Host,
                               const standins::LinkFaults &Set) {
  for (const auto &Link : TargetLinks_)
    Link->setFaultsFrom(source(Host), Set);
}

void LiveFleet::resetTargetLinks(std::size_t Host) {
  for (const auto &Link : TargetLinks_)
    Link->resetAll(source(Host));
}

std::size_t LiveFleet::writeIntent(int Version, const std::string &Key,
                                   std::size_t MoreRules) {
  const Json::Value Made = makeIntent(Version, Key, MoreRules);
  Objects_->put("config", "main", Made);
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Made).size();
}

Json::Value LiveFleet::makeIntent(int Version, const std::string &Key,
                                  std::size_t MoreRules) {
  Json::Value Made;
  Made["version"] = "r" + std::to_string(Version);
  Made["routes"]["columns"] =
      listOf({"name", "host", "pathPrefix", "kind", "timeoutMs", "maxAttempts",
              "service", "priority"});
  Made["routes"]["rows"].append(listOf({"r-1", "a.example", "/x/", "idempotent",
                                        2000, MostTargets, "portal", 1}));
  Made["routes"]["rows"].append(
      listOf({"r-2", "a.example", "/y/", "non_idempotent", 2000, MostTargets,
              "portal", 0}));
  Made["routes"]["rows"].append(
      listOf({"r-3", "a.example", "/z/", "idempotent", 2000, 1, "portal", 1}));
  Made["routes"]["rows"].append(listOf({"r-4", "a.example", "/w/", "idempotent",
                                        4000, MostTargets, "portal", 1}));
  for (std::size_t Each = 0; Each < MoreRules; ++Each) {
    const std::string Name = "more-" + std::to_string(Each);
    Made["routes"]["rows"].append(listOf({Name, "a.example", "/" + Name + "/",
                                          "idempotent", 2000, 2, "portal", 2}));
  }
  Made["services"]["columns"] = listOf({"name", "healthPath"});
  Made["services"]["rows"].append(listOf({"portal", "/health"}));
  Made["tenants"]["columns"] = listOf({"name", "apiKeys"});
  Made["tenants"]["rows"].append(listOf({"parish", listOf({Key})}));
  return Made;
}

void LiveFleet::writeEntry(std::size_t Target, const std::string &State,
                           int ColdMilliseconds, std::int64_t Start) {
  Json::Value Made;
  Made["service"] = "portal";
  Made["address"] =
      Size_.HasProxies_
          ? Size_.Base_ + std::to_string(TargetLinkPart + Target) + ":7100"
          : Targets_[Target]->address();
  Made["zone"] = "near-1";
  Made["slots"] = 3;
  Made["state"] = State;
  Made["born"] = Json::Int64(Start);
  if (ColdMilliseconds > 0)
    Made["coldRemainingMs"] = ColdMilliseconds;
  Objects_->put("servers", Targets_[Target]->settings().Name_, Made);
}

bool LiveFleet::isReady(std::size_t Host) const {
  return get(at(Host, 7004), "/readyz").Status_ == 200;
}

CallerAnswer LiveFleet::ask(std::size_t Host, const std::string &Key,
                            const std::string &Id,
                            const std::string &Path) const {
  CallerRequest Request;
  Request.Target_ = Path;
  Request.Headers_ = {{"Host", "a.example"},
                      {"Authorization", "Bearer " + Key},
                      {platform::vocabulary().RequestId_, Id},
                      // The stand-in counts by this one.
                      {"Lychee-Request-Id", Id}};
  return call(callers(Host), Request);
}

std::string LiveFleet::resolve(std::size_t Host) const {
  return get(at(Host, 7003), "/resolve?name=a.example&region=near").Body_;
}

std::string LiveFleet::metrics(std::size_t Host) const {
  return get(at(Host, 7002), "/metrics").Body_;
}

std::optional<double> LiveFleet::metric(std::size_t Host,
                                        const std::string &Series) const {
  std::istringstream Text(metrics(Host));
  for (std::string Line; std::getline(Text, Line);)
    if (Line.starts_with(Series + " "))
      return std::stod(Line.substr(Series.size() + 1));
  return std::nullopt;
}

std::string LiveFleet::log(std::size_t Host) const {
  std::ifstream Log(logPath(Host));
  return {std::istreambuf_iterator<char>(Log),
          std::istreambuf_iterator<char>()};
}

bool LiveFleet::getsNothing(std::size_t Target, const std::string &Key) {
  const auto Before = Targets_[Target]->counts().total();
  for (std::size_t Each = 0; Each < 20; ++Each)
    ask(Each % Size_.Hosts_, Key);
  return Targets_[Target]->counts().total() == Before;
}

} // namespace lychee::tests
