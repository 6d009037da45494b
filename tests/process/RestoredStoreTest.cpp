#include "support/LiveFleet.h"
#include "support/TestFleet.h"

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <unistd.h>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
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
/// comes back from an older copy. The targets' entries are in the copy;
/// versions 2 to 4 of the configuration are not.
TEST_GROUP(RestoredStore) {
  std::unique_ptr<LiveFleet> Fleet_;

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
  void restore(base::Duration Age = CopyAge) {
    Fleet_->objects().setFaults({.Down_ = true});
    std::this_thread::sleep_for(300ms);
    Fleet_->objects().restore(Age);
    Fleet_->objects().setFaults({});
  }

  /// \returns whether \p Holds is true each time until operators and targets
  /// would have written again.
  static bool holdsMeanwhile(const std::function<bool()> &Holds) {
    for (int Poll = 0; Poll < 15; ++Poll) {
      if (!Holds())
        return false;
      std::this_thread::sleep_for(100ms);
    }
    return true;
  }

  bool haveAllTargets(double Count) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, "lychee_targets_known") != Count)
        return false;
    return true;
  }

  bool haveAllSeenRestores(double Count) const {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Fleet_->metric(Host, "lychee_store_restores_total") != Count)
        return false;
    return true;
  }

  /// \returns a host that does not read the store itself.
  std::size_t toldHost() const {
    std::size_t Host = 0;
    while (Fleet_->metric(Host, "lychee_asks_store") == 1)
      ++Host;
    return Host;
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

// Hosts that are told by others need not list by themselves.
TEST(RestoredStore, hostsCallTheStoreNoOftenerThanAfterAnOutage) {
  const auto CallsDuring = [&](const std::function<void()> &Trouble) {
    const std::size_t Before = Fleet_->objects().calls();
    Trouble();
    std::this_thread::sleep_for(3s);
    return Fleet_->objects().calls() - Before;
  };
  const std::size_t AfterAnOutage = CallsDuring([&] {
    Fleet_->objects().setFaults({.Down_ = true});
    std::this_thread::sleep_for(300ms);
    Fleet_->objects().setFaults({});
  });
  const std::size_t AfterARestore = CallsDuring([&] { restore(); });
  CHECK(haveAllSeenRestores(1));
  CHECK(AfterARestore <= AfterAnOutage);
}

TEST(RestoredStore, aWithdrawnKeyStaysWithdrawn) {
  Fleet_->writeIntent(5, "second-key");
  CHECK(TestFleet::waitFor([&] { return haveAllVersion(5); }));
  restore();
  CHECK(holdsMeanwhile(
      [&] { return allAnswer(Key, 401) && allAnswer("second-key", 200); }));
  Fleet_->objects().writeAgain();
  CHECK(TestFleet::waitFor([&] { return haveAllSeenRestores(1); }));
  CHECK(allAnswer(Key, 401) && allAnswer("second-key", 200));
}

TEST(RestoredStore, aTargetThatLeftBeforeItGetsNothing) {
  Fleet_->writeEntry(0, "draining");
  CHECK(TestFleet::waitFor([&] { return Fleet_->getsNothing(0, Key); }));
  restore();
  CHECK(holdsMeanwhile([&] { return Fleet_->getsNothing(0, Key); }));
  Fleet_->objects().writeAgain();
  CHECK(TestFleet::waitFor([&] { return haveAllSeenRestores(1); }));
  CHECK(Fleet_->getsNothing(0, Key));
}

TEST(RestoredStore, aTargetThatTheCopyLacksIsUsedUntilItIsWrittenAgain) {
  Fleet_->objects().remove("servers", "t1");
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(1); }));
  std::this_thread::sleep_for(CopyAge);
  Fleet_->writeEntry(1, "ready", 0, 2);
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(2); }));
  restore(1500ms);
  CHECK(holdsMeanwhile([&] { return haveAllTargets(2); }));
  Fleet_->objects().writeAgain();
  CHECK(TestFleet::waitFor([&] { return haveAllSeenRestores(1); }));
  std::this_thread::sleep_for(1s);
  CHECK(haveAllTargets(2));
}

TEST(RestoredStore, aTargetThatIsNotWrittenAgainIsGone) {
  Fleet_->objects().remove("servers", "t1");
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(1); }));
  std::this_thread::sleep_for(CopyAge);
  Fleet_->writeEntry(1, "ready", 0, 2);
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(2); }));
  restore(1500ms);
  CHECK(TestFleet::waitFor([&] { return haveAllTargets(1); }));
}

TEST(RestoredStore, aHostThatTheStoreRefusesHearsOfItFromOthers) {
  const std::size_t Refused = toldHost();
  Fleet_->storeLink(Refused).setFaults({.Refuses_ = true});
  Fleet_->storeLink(Refused).resetAll();
  restore();
  Fleet_->writeIntent(5, "second-key");
  CHECK(TestFleet::waitFor([&] { return haveAllVersion(5); }));
  CHECK(haveAllSeenRestores(1));
}

TEST(RestoredStore, aHostThatStartsAfterItTakesNoWithdrawnKey) {
  Fleet_->writeIntent(5, "second-key");
  CHECK(TestFleet::waitFor([&] { return haveAllVersion(5); }));
  Fleet_->killHost(4);
  restore();
  CHECK(TestFleet::waitFor([&] {
    return Fleet_->log(0).find("event=intent-old") != std::string::npos;
  }));
  Fleet_->startHost(4);
  CHECK(holdsMeanwhile([&] { return Fleet_->ask(4, Key).Status_ != 200; }));
  Fleet_->objects().writeAgain();
  CHECK(TestFleet::waitFor([&] { return allAnswer("second-key", 200); }));
}

TEST(RestoredStore, aSecondOneWithinSecondsIsFollowed) {
  restore();
  Fleet_->writeIntent(5, "second-key");
  std::this_thread::sleep_for(700ms);
  restore(1500ms);
  Fleet_->objects().writeAgain();
  Fleet_->writeIntent(6, "third-key");
  CHECK(TestFleet::waitFor([&] { return haveAllVersion(6); }));
  CHECK(allAnswer("third-key", 200));
}

// Hosts that wrote their entries after the copy write them again.
TEST(RestoredStore, hostsAreListedAgain) {
  Fleet_->killHost(4);
  Fleet_->objects().remove("lychee-hosts", "host-4");
  std::this_thread::sleep_for(CopyAge);
  Fleet_->startHost(4);
  CHECK(TestFleet::waitFor([&] { return Fleet_->isReady(4); }));
  restore(CopyAge);
  CHECK(TestFleet::waitFor(
      [&] { return Fleet_->objects().count("lychee-hosts") == HostCount; }));
}
