#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace standins = lychee::standins;
namespace tests = lychee::tests;
using standins::ObjectFaults;
using tests::LiveFleet;
using tests::TestFleet;

namespace {

constexpr std::size_t HostCount = 2;
constexpr const char *Key = "first-key";

} // namespace

/// Two real hosts on the stand-in of the users' platform, with two targets.
TEST_GROUP(LiveHost) {
  std::unique_ptr<LiveFleet> Fleet_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
        "127.91." + std::to_string(Number) + ".", HostCount, 2, false});
    for (std::size_t Each = 0; Each < HostCount; ++Each)
      CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(Each); }));
  }
  void teardown() override { Fleet_.reset(); }

  bool names(std::size_t Asked, std::size_t Host) const {
    return Fleet_->resolve(Asked).find(Fleet_->callers(Host)) !=
           std::string::npos;
  }
};

TEST(LiveHost, aRequestIsServedAndHostsNameEachOther) {
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    LONGS_EQUAL(200, Fleet_->ask(Host, Key).Status_);
    CHECK(TestFleet::waitFor([&] { return names(Host, 0) && names(Host, 1); }));
  }
  LONGS_EQUAL(401, Fleet_->ask(0, "no-key").Status_);
  LONGS_EQUAL(HostCount, Fleet_->objects().count("lychee-hosts"));
}

TEST(LiveHost, metricsTellOfEachDependency) {
  CHECK(TestFleet::waitFor([&] {
    const std::string Text = Fleet_->metrics(0);
    for (const char *Line :
         {"lychee_settings_version 1", "lychee_keys_trusted 1",
          "lychee_hosts_alive 1", "lychee_targets_known 2",
          "lychee_zones_evacuated 0", "lychee_asks_store 1",
          "lychee_store_calls_total{end=\"answered\"",
          "lychee_relay_questions_total{end=\"sound\"}"})
      if (Text.find(Line) == std::string::npos)
        return false;
    return true;
  }));
}

// A host dies without a word. The other leaves it out of its answers; callers
// would be sent to it for as long as it is named.
TEST(LiveHost, aKilledHostIsNamedNoMore) {
  CHECK(TestFleet::waitFor([&] { return names(0, 1); }));
  Fleet_->killHost(1);
  CHECK(TestFleet::waitFor([&] { return !names(0, 1); }));
}

// The store is away for good. What is known stays in force for a while, and
// keys are refused, as not run, once nobody can tell whether they still hold.
TEST(LiveHost, withTheStoreAwayKeysAreRefusedInTheEnd) {
  ObjectFaults Down;
  Down.Down_ = true;
  Fleet_->objects().setFaults(Down);
  LONGS_EQUAL(200, Fleet_->ask(0, Key).Status_);
  CHECK(TestFleet::waitFor([&] { return Fleet_->ask(0, Key).Status_ == 503; }));
  Fleet_->objects().setFaults({});
  CHECK(TestFleet::waitFor([&] { return Fleet_->ask(0, Key).Status_ == 200; }));
}

// The store goes deaf and then forgets its history, and a key is withdrawn in
// between. The watch never hears of it; the list that follows shows it.
TEST(LiveHost, aChangeInAGapOfTheHistoryIsSeen) {
  ObjectFaults Deaf;
  Deaf.Deaf_ = true;
  Fleet_->objects().setFaults(Deaf);
  Fleet_->writeIntent(2, "second-key");
  Fleet_->objects().forgetHistory();
  Fleet_->objects().setFaults({});
  CHECK(TestFleet::waitFor([&] { return Fleet_->ask(0, Key).Status_ == 401; }));
  LONGS_EQUAL(200, Fleet_->ask(0, "second-key").Status_);
}

TEST(LiveHost, aStoreThatStatesNoEraIsFollowed) {
  Fleet_->objects().setEra(std::nullopt);
  Fleet_->writeIntent(2, "second-key");
  CHECK(TestFleet::waitFor([&] { return Fleet_->ask(0, Key).Status_ == 401; }));
  Fleet_->killHost(1);
  Fleet_->startHost(1);
  CHECK(TestFleet::waitFor(
      [&] { return Fleet_->ask(1, "second-key").Status_ == 200; }));
  // The host that started hears of an era from the other one only.
  CHECK(TestFleet::waitFor(
      [&] { return Fleet_->metric(1, "lychee_store_era") == 1; }));
  Fleet_->killHost(0);
  Fleet_->writeIntent(3, "third-key");
  CHECK(TestFleet::waitFor(
      [&] { return Fleet_->ask(1, "third-key").Status_ == 200; }));
}

// Another writer's entry in a list of several pages, and all hosts start: no
// target was found behind it.
TEST(LiveHost, hostsThatStartFindTheTargetsBehindAnOddlyNamedEntry) {
  Fleet_->objects().setPageEntries(1);
  for (const char *Odd : {"a00%#", "a02&b=", "a03+", "a04%7A", "a05 b"}) {
    Fleet_->objects().put("servers", Odd, "no target");
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      Fleet_->killHost(Host);
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      Fleet_->startHost(Host);
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      CHECK_TRUE_TEXT(TestFleet::waitFor([&] {
                        return Fleet_->ask(Host, Key).Status_ == 200;
                      }),
                      Odd);
    Fleet_->objects().remove("servers", Odd);
  }
}

// The store rejects the list of one kind, and serves the others.
TEST(LiveHost, aListThatIsRejectedCancelsNoOtherCall) {
  Fleet_->objects().setFaults({.RejectedKind_ = "servers"});
  Fleet_->objects().forgetHistory();
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    CHECK(TestFleet::waitFor([&] {
      const std::string Log = Fleet_->log(Host);
      std::size_t Rejected = 0;
      for (std::size_t At = 0;
           (At = Log.find("reason=\"status 400", At)) != std::string::npos;
           ++At)
        ++Rejected;
      return Rejected >= 6;
    }));
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    LONGS_EQUAL(200, Fleet_->ask(Host, Key).Status_);
    CHECK(Fleet_->log(Host).find("step=store.watch") == std::string::npos);
  }
}

// A target says that it leaves. Its entry alone tells; it gets nothing more.
TEST(LiveHost, aLeavingTargetGetsNothingMore) {
  Fleet_->writeEntry(0, "draining");
  CHECK(TestFleet::waitFor([&] { return Fleet_->getsNothing(0, Key); }));
}

// A target's entry changes twice and is removed while hosts pause between two
// watches, so that they hear the last change and the end together. The target
// gets nothing more.
TEST(LiveHost, aChangeAndItsEndThatComeTogetherEndTheTarget) {
  for (const int Cold : {3, 2, 1}) {
    Fleet_->writeEntry(0, "ready", Cold);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  Fleet_->objects().remove("servers", "t0");
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    CHECK(TestFleet::waitFor([&] {
      return Fleet_->log(Host).find("event=target-gone target=t0") !=
             std::string::npos;
    }));
  CHECK(Fleet_->getsNothing(0, Key));
}

// A host is told to stop while callers use it: no request is cut, it is named
// no more, and it ends by itself with exit code 0.
TEST(LiveHost, aStopCutsNothing) {
  Fleet_->host(1).signal(SIGTERM);
  for (int Each = 0; Each < 20; ++Each)
    LONGS_EQUAL(200, Fleet_->ask(1, Key).Status_);
  CHECK_FALSE(Fleet_->isReady(1));
  CHECK(TestFleet::waitFor([&] { return !names(0, 1); }));
  LONGS_EQUAL(0, Fleet_->host(1).wait());
}
