#include "platform/Names.h"
#include "platform/StandinObjects.h"
#include "support/ChildProcess.h"
#include "support/HttpCall.h"
#include "support/TestFleet.h"
#include "target/TargetServer.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <json/json.h>
#include <memory>
#include <thread>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace standins = lychee::standins;
namespace tests = lychee::tests;
using standins::ObjectFaults;
using tests::CallerAnswer;
using tests::CallerRequest;
using tests::ChildProcess;
using tests::TestFleet;

namespace {

constexpr int HostCount = 2;

/// The platform's configuration: one rule to one service, one customer.
Json::Value intentOf(int Version, const std::string &Key) {
  Json::Value Made;
  Made["version"] = "r" + std::to_string(Version);
  for (const char *Column : {"name", "host", "pathPrefix", "kind", "timeoutMs",
                             "maxAttempts", "service"})
    Made["routes"]["columns"].append(Column);
  Json::Value Route;
  for (const char *Text : {"r-1", "a.example", "/x/", "idempotent"})
    Route.append(Text);
  Route.append(2000);
  Route.append(2);
  Route.append("portal");
  Made["routes"]["rows"].append(Route);
  Made["services"]["columns"].append("name");
  Json::Value Service;
  Service.append("portal");
  Made["services"]["rows"].append(Service);
  Made["tenants"]["columns"].append("name");
  Made["tenants"]["columns"].append("apiKeys");
  Json::Value Customer;
  Customer.append("parish");
  Json::Value Keys(Json::arrayValue);
  Keys.append(Key);
  Customer.append(Keys);
  Made["tenants"]["rows"].append(Customer);
  return Made;
}

Json::Value entryOf(const std::string &Address, const std::string &State) {
  Json::Value Made;
  Made["service"] = "portal";
  Made["address"] = Address;
  Made["zone"] = "near-1";
  Made["slots"] = 3;
  Made["state"] = State;
  Made["born"] = Json::Int64(1);
  return Made;
}

} // namespace

/// Two real hosts on the stand-in of the users' platform, with two targets.
TEST_GROUP(LiveHost) {
  std::string Base_;
  std::unique_ptr<standins::StandinObjects> Objects_;
  std::vector<std::unique_ptr<standins::target::TargetServer>> Targets_;
  std::vector<std::unique_ptr<ChildProcess>> Hosts_;
  std::string Folder_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Base_ = "127.91." + std::to_string(Number) + ".";
    Folder_ = std::filesystem::temp_directory_path() /
              ("lychee-live-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    lychee::base::Error Last;
    Objects_ = std::make_unique<standins::StandinObjects>(Base_ + "9", 7000);
    CHECK_TRUE_TEXT(Objects_->start(Last), Last.describe().c_str());
    for (int Each = 0; Each < 2; ++Each) {
      standins::target::TargetSettings Settings;
      Settings.Name_ = "t" + std::to_string(Each);
      Targets_.push_back(
          std::make_unique<standins::target::TargetServer>(Settings));
      Targets_.back()->start();
      Objects_->put("servers", Settings.Name_,
                    entryOf(Targets_.back()->address(), "ready"));
    }
    Objects_->put("config", "main", intentOf(1, "first-key"));
    for (int Each = 0; Each < HostCount; ++Each)
      startHost(Each);
    for (int Each = 0; Each < HostCount; ++Each)
      CHECK(TestFleet::waitFor([&] { return isReady(Each); }));
  }
  void teardown() override {
    Hosts_.clear();
    Targets_.clear();
    Objects_.reset();
    std::filesystem::remove_all(Folder_);
  }

  std::string at(int Host, int Port) const {
    return Base_ + std::to_string(Host + 1) + ":" + std::to_string(Port);
  }
  void startHost(int Index) {
    const std::string Path =
        Folder_ + "/host-" + std::to_string(Index) + ".ini";
    std::ofstream(Path) << "[host]\nname = host-" << Index
                        << "\nregion = near\nzone = near-1\nthreads = 1\n"
                        << "[callers]\nlisten = " << at(Index, 7001)
                        << "\n[metrics]\nlisten = " << at(Index, 7002)
                        << "\n[store]\naddress = " << Base_ << "9:7000\n"
                        << "[live]\ndirectory = " << at(Index, 7003)
                        << "\nreadiness = " << at(Index, 7004)
                        << "\nheartbeats = " << at(Index, 7005)
                        << "\nrelays = " << at(Index, 7006)
                        << "\nbound = revokeMs=5000\nbound = graceS=6\n"
                        << "[zone near-1]\nregion = near\n";
    Hosts_.resize(HostCount);
    Hosts_[static_cast<std::size_t>(Index)] = std::make_unique<ChildProcess>(
        "lycheed", std::vector<std::string>{"--settings", Path},
        Folder_ + "/host-" + std::to_string(Index) + ".log");
  }
  bool isReady(int Host) const {
    return tests::get(at(Host, 7004), "/readyz").Status_ == 200;
  }
  CallerAnswer ask(int Host, const std::string &Key = "first-key") const {
    CallerRequest Request;
    Request.Target_ = "/x/1";
    Request.Headers_ = {{"Host", "a.example"},
                        {"Authorization", "Bearer " + Key},
                        {lychee::platform::vocabulary().RequestId_, "r1"}};
    return tests::call(at(Host, 7001), Request);
  }
  std::string resolve(int Host) const {
    return tests::get(at(Host, 7003), "/resolve?name=a.example&region=near")
        .Body_;
  }
  bool logHas(int Host, const std::string &Text) const {
    std::ifstream Log(Folder_ + "/host-" + std::to_string(Host) + ".log");
    const std::string All((std::istreambuf_iterator<char>(Log)),
                          std::istreambuf_iterator<char>());
    return All.find(Text) != std::string::npos;
  }
  /// \returns whether none of a few requests to all hosts reached the target.
  bool getsNothing(std::size_t Target) const {
    const auto Before = Targets_[Target]->counts().total();
    for (int Each = 0; Each < 20; ++Each)
      ask(Each % HostCount);
    return Targets_[Target]->counts().total() == Before;
  }
};

TEST(LiveHost, aRequestIsServedAndHostsNameEachOther) {
  for (int Host = 0; Host < HostCount; ++Host) {
    LONGS_EQUAL(200, ask(Host).Status_);
    CHECK(TestFleet::waitFor([&] {
      const std::string Named = resolve(Host);
      return Named.find(at(0, 7001)) != std::string::npos &&
             Named.find(at(1, 7001)) != std::string::npos;
    }));
  }
  LONGS_EQUAL(401, ask(0, "no-key").Status_);
  LONGS_EQUAL(HostCount, Objects_->count("lychee-hosts"));
}

// A host dies without a word. The other leaves it out of its answers; callers
// would be sent to it for as long as it is named.
TEST(LiveHost, aKilledHostIsNamedNoMore) {
  CHECK(TestFleet::waitFor(
      [&] { return resolve(0).find(at(1, 7001)) != std::string::npos; }));
  Hosts_[1].reset();
  CHECK(TestFleet::waitFor(
      [&] { return resolve(0).find(at(1, 7001)) == std::string::npos; }));
}

// The store is away for good. What is known stays in force for a while, and
// keys are refused, as not run, once nobody can tell whether they still hold.
TEST(LiveHost, withTheStoreAwayKeysAreRefusedInTheEnd) {
  ObjectFaults Down;
  Down.Down_ = true;
  Objects_->setFaults(Down);
  LONGS_EQUAL(200, ask(0).Status_);
  CHECK(TestFleet::waitFor([&] { return ask(0).Status_ == 503; }));
  Objects_->setFaults({});
  CHECK(TestFleet::waitFor([&] { return ask(0).Status_ == 200; }));
}

// The store goes deaf and then forgets its history, and a key is withdrawn in
// between. The watch never hears of it; the list that follows shows it.
TEST(LiveHost, aChangeInAGapOfTheHistoryIsSeen) {
  ObjectFaults Deaf;
  Deaf.Deaf_ = true;
  Objects_->setFaults(Deaf);
  Objects_->put("config", "main", intentOf(2, "second-key"));
  Objects_->forgetHistory();
  Objects_->setFaults({});
  CHECK(TestFleet::waitFor([&] { return ask(0).Status_ == 401; }));
  LONGS_EQUAL(200, ask(0, "second-key").Status_);
}

// A target says that it leaves. Its entry alone tells; it gets nothing more.
TEST(LiveHost, aLeavingTargetGetsNothingMore) {
  Objects_->put("servers", "t0", entryOf(Targets_[0]->address(), "draining"));
  CHECK(TestFleet::waitFor([&] { return getsNothing(0); }));
}

// A target's entry changes twice and is removed while hosts pause between two
// watches, so that they hear the last change and the end together. The target
// gets nothing more.
TEST(LiveHost, aChangeAndItsEndThatComeTogetherEndTheTarget) {
  Json::Value Entry = entryOf(Targets_[0]->address(), "ready");
  for (const int Cold : {3, 2, 1}) {
    Entry["coldRemainingMs"] = Cold;
    Objects_->put("servers", "t0", Entry);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  Objects_->remove("servers", "t0");
  for (int Host = 0; Host < HostCount; ++Host)
    CHECK(TestFleet::waitFor(
        [&] { return logHas(Host, "event=target-gone target=t0"); }));
  CHECK(getsNothing(0));
}

// A host is told to stop while callers use it: no request is cut, it is named
// no more, and it ends by itself with exit code 0.
TEST(LiveHost, aStopCutsNothing) {
  Hosts_[1]->signal(SIGTERM);
  for (int Each = 0; Each < 20; ++Each)
    LONGS_EQUAL(200, ask(1).Status_);
  LONGS_EQUAL(503, tests::get(at(1, 7004), "/readyz").Status_);
  CHECK(TestFleet::waitFor(
      [&] { return resolve(0).find(at(1, 7001)) == std::string::npos; }));
  LONGS_EQUAL(0, Hosts_[1]->wait());
}
