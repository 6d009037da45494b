#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <memory>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using tests::LiveFleet;
using tests::TestFleet;

namespace {

constexpr std::size_t HostCount = 5;
constexpr std::size_t TargetCount = 2;

} // namespace

/// The real hosts of one region, two of which read the store, and targets whose
/// entries are removed without a notice.
TEST_GROUP(LiveRemoval) {
  std::unique_ptr<LiveFleet> Fleet_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
        "127.94." + std::to_string(Number) + ".", HostCount, TargetCount});
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(Host); }));
  }
  void teardown() override { Fleet_.reset(); }

  bool haveAllTargets(double Count) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, "lychee_targets_known") != Count)
        return false;
    return true;
  }
  bool hasLogged(const char *Text) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->log(Host).find(Text) != std::string::npos)
        return true;
    return false;
  }
};

// A cut watch that counted as a failure of the store kept removed targets in
// use, on all hosts.
TEST(LiveRemoval, aTargetRemovedAfterWatchesWereCutIsNotKept) {
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(TargetCount); }));
  CHECK(TestFleet::waitFor([&] {
    Fleet_->objects().cutWatches();
    return hasLogged("event=store-watch-cut") ||
           hasLogged("event=store-trouble");
  }));
  Fleet_->objects().remove("servers", "t1");
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(TargetCount - 1); }));
  CHECK_FALSE(hasLogged("event=target-kept"));
  CHECK_FALSE(hasLogged("event=store-trouble"));
}

// The other way round: an outage may have let the entry expire.
TEST(LiveRemoval, aTargetThatIsMissingAfterAnOutageIsKeptForAWhile) {
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(TargetCount); }));
  Fleet_->objects().setFaults({.Down_ = true});
  Fleet_->objects().remove("servers", "t1");
  CHECK(TestFleet::waitFor([&] { return hasLogged("event=store-trouble"); }));
  Fleet_->objects().setFaults({});
  CHECK(TestFleet::waitFor(
      [&] { return hasLogged("event=target-kept target=t1"); }));
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(TargetCount - 1); }));
}
