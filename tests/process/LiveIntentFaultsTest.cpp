#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <memory>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::LiveFleet;
using tests::TestFleet;

namespace {

/// Two hosts read the store; the others are told by them.
constexpr std::size_t HostCount = 4;
constexpr const char *OldKey = "first-key";
constexpr const char *NewKey = "second-key";

} // namespace

/// Real hosts whose operator writes versions that cannot be read, or not
/// wholly.
TEST_GROUP(LiveIntentFaults) {
  std::unique_ptr<LiveFleet> Fleet_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
        "127.95." + std::to_string(Number) + ".", HostCount, 2});
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(Host); }));
    CHECK(waitUntilAll(OldKey, 200));
  }
  void teardown() override { Fleet_.reset(); }

  void write(const Json::Value &Intent) {
    Fleet_->objects().put("config", "main", Intent);
  }
  bool waitUntilAll(const char *Key, int Status, const char *Path = "/x/1")
      const {
    return TestFleet::waitFor([&] {
      for (std::size_t Host = 0; Host < HostCount; ++Host)
        if (Fleet_->ask(Host, Key, "r1", Path).Status_ != Status)
          return false;
      return true;
    });
  }
  bool haveAll(const char *Series, double Value) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, Series) != Value)
        return false;
    return true;
  }
};

// The keys of the version before were taken for good.
TEST(LiveIntentFaults, keysBecomeStaleWhileTheNewestVersionCannotBeRead) {
  Json::Value Unreadable = LiveFleet::makeIntent(2, NewKey);
  Unreadable["routes"] = "none";
  write(Unreadable);
  CHECK(waitUntilAll(OldKey, 503));
  CHECK(haveAll("lychee_settings_refused", 1));
  write(LiveFleet::makeIntent(3, NewKey));
  CHECK(waitUntilAll(NewKey, 200));
  CHECK(waitUntilAll(OldKey, 401));
  CHECK(haveAll("lychee_settings_refused", 0));
}

TEST(LiveIntentFaults, keysBecomeStaleWhileThereIsNoVersion) {
  Fleet_->objects().remove("config", "main");
  CHECK(waitUntilAll(OldKey, 503));
  write(LiveFleet::makeIntent(3, NewKey));
  CHECK(waitUntilAll(NewKey, 200));
}

// A row that could not be read kept the whole version from being in force.
TEST(LiveIntentFaults, aRowThatCannotBeReadLeavesTheOthersInForce) {
  Json::Value Broken = LiveFleet::makeIntent(2, NewKey);
  constexpr Json::ArrayIndex KindColumn = 3;
  Broken["routes"]["rows"][1][KindColumn] = 7;
  write(Broken);
  CHECK(waitUntilAll(NewKey, 200));
  CHECK(waitUntilAll(OldKey, 401));
  CHECK(waitUntilAll(NewKey, 503, "/y/1"));
  STRCMP_EQUAL(
      "1.000",
      Fleet_->ask(0, NewKey, "r1", "/y/1").header("retry-after").c_str());
  CHECK(haveAll("lychee_settings_rows_unreadable", 1));
  write(LiveFleet::makeIntent(3, NewKey));
  CHECK(waitUntilAll(NewKey, 200, "/y/1"));
}

// Every request ran once the last tenant was gone.
TEST(LiveIntentFaults, aVersionThatTakesTheLastTenantAwayLetsNobodyIn) {
  Json::Value Next = LiveFleet::makeIntent(2, OldKey);
  Next["tenants"]["rows"] = Json::Value(Json::arrayValue);
  write(Next);
  CHECK(waitUntilAll(OldKey, 401));
  CHECK(waitUntilAll("no-key", 401));
  write(LiveFleet::makeIntent(3, NewKey));
  CHECK(waitUntilAll(NewKey, 200));
  CHECK(waitUntilAll(OldKey, 401));
  Next = LiveFleet::makeIntent(4, OldKey);
  Next.removeMember("tenants");
  write(Next);
  CHECK(waitUntilAll("no-key", 200));
  write(LiveFleet::makeIntent(5, NewKey));
  CHECK(waitUntilAll("no-key", 401));
}
