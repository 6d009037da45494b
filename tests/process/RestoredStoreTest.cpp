#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <chrono>
#include <memory>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace standins = lychee::standins;
namespace tests = lychee::tests;
using tests::LiveFleet;
using tests::TestFleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 5;
constexpr const char *Key = "first-key";
/// As old as the copy that the store comes back from.
constexpr auto CopyAge = 2s;

} // namespace

/// The real hosts of one region, two of which read the store, while the store
/// comes back from an older copy. Both targets' entries, and versions 2 to 4 of
/// the configuration, are not in the copy.
TEST_GROUP(RestoredStore) {
  std::unique_ptr<LiveFleet> Fleet_;
  std::vector<standins::LostWrite> Lost_;

  void setup() override {
    // Each run has addresses of its own.
    const int Number = static_cast<int>(getpid()) % 200;
    Fleet_ = std::make_unique<LiveFleet>(tests::LiveFleetSize{
        "127.93." + std::to_string(Number) + ".", HostCount, 2, true});
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(Host); }));
    std::this_thread::sleep_for(CopyAge + 500ms);
    for (int Version = 2; Version <= 4; ++Version)
      Fleet_->writeIntent(Version, Key);
    CHECK(TestFleet::waitFor([&] { return haveAllVersion(4); }));
  }
  void teardown() override { Fleet_.reset(); }

  /// The store goes away for a moment and comes back from the copy.
  void restore() {
    Fleet_->objects().setFaults({.Down_ = true});
    std::this_thread::sleep_for(300ms);
    Lost_ = Fleet_->objects().restore(CopyAge);
    Fleet_->objects().setFaults({});
  }

  bool haveAllVersion(double Version) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, "lychee_settings_version") != Version)
        return false;
    return true;
  }

  bool allAnswer(const char *Presented, int Status) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->ask(Host, Presented).Status_ != Status)
        return false;
    return true;
  }
};

TEST(RestoredStore, aConfigurationWrittenAfterItIsInForceEverywhere) {
  restore();
  Fleet_->writeIntent(5, "second-key");
  CHECK(TestFleet::waitFor([&] { return haveAllVersion(5); }));
  CHECK(allAnswer(Key, 401));
  CHECK(allAnswer("second-key", 200));
}

TEST(RestoredStore, aTargetThatLeavesAfterItGetsNothing) {
  restore();
  Fleet_->writeEntry(0, "draining");
  CHECK(TestFleet::waitFor([&] { return Fleet_->getsNothing(0, Key); }));
}

// Guards against a loop of lists and watches that the store cannot answer.
TEST(RestoredStore, hostsCallTheStoreAsOftenAsBefore) {
  restore();
  std::this_thread::sleep_for(1s);
  const std::size_t Before = Fleet_->objects().calls();
  std::this_thread::sleep_for(2s);
  CHECK(Fleet_->objects().calls() - Before < HostCount * 10);
}
