#include "dispatch/StatedRateSimulation.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

using lychee::tests::StatedRateFleet;
using lychee::tests::StatedRateSimulation;

namespace {

constexpr std::uint64_t Seeds = 3;
/// Requests that a target takes from a host in a rest that it asked it for.
constexpr int AllowedInARest = 2;
/// Time after which a leaving target gets nothing.
constexpr double DrainSeconds = 2.5;
/// Two heartbeats of a region, an update to the others, and what is in flight.
constexpr double NewsSeconds = 2;

StatedRateFleet largeFleet() {
  StatedRateFleet Size;
  Size.Hosts_ = 300;
  Size.Targets_ = 240;
  Size.PerSecond_ = 3000;
  Size.Objects_ = 480;
  return Size;
}

/// Few targets with many requests each.
StatedRateFleet busyFleet() {
  StatedRateFleet Size;
  Size.Targets_ = 9;
  Size.PerSecond_ = 90;
  return Size;
}

} // namespace

/// Targets that turn requests away and ask for a rest.
TEST_GROUP(TargetRest){};

// Guards against hosts that go on sending to a target in the rest that it asked
// them for.
TEST(TargetRest, twelveHostsKeepIt) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.rest(0, 3);
    Fleet.rest(4, 1.5);
    Fleet.run(12);
    CHECK(Fleet.mostInARest(0) <= AllowedInARest);
    CHECK(Fleet.mostInARest(4) <= AllowedInARest);
  }
}

TEST(TargetRest, threeHundredHostsKeepIt) {
  StatedRateSimulation Fleet(largeFleet(), 1);
  Fleet.run(2);
  for (std::size_t Target = 0; Target < 40; ++Target)
    Fleet.rest(Target, 6);
  Fleet.run(12);
  for (std::size_t Target = 0; Target < 40; ++Target)
    CHECK(Fleet.mostInARest(Target) <= AllowedInARest);
}

// Guards against a rest that outlasts what was asked for.
TEST(TargetRest, theTargetIsUsedAgainAfterIt) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(12);
    const double Before = Fleet.rateAt(0, 10);
    Fleet.rest(0, 2);
    Fleet.run(6);
    Fleet.rest(0, {});
    Fleet.run(14);
    CHECK(Fleet.rateAt(0, 8) > Before / 2);
  }
}

// Guards against a rest that a target forgets with its entry.
TEST(TargetRest, itIsKeptWhileEntriesComeAndGo) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.rest(0, 5);
    Fleet.run(2);
    for (int Times = 0; Times < 4; ++Times) {
      Fleet.dropEntries();
      Fleet.run(0.3);
      Fleet.restoreEntries();
      Fleet.run(0.7);
    }
    CHECK(Fleet.mostInARest(0) <= AllowedInARest);
  }
}

TEST(TargetRest, itIsKeptWhileHostsRestartFreezeAndAreCutOff) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.rest(0, 4);
    for (std::size_t Host = 0; Host < 12; ++Host) {
      const std::size_t Next = (Host + 1) % 12;
      Fleet.restart(Host);
      Fleet.freeze(Next);
      Fleet.cutOff((Host + 5) % 12);
      Fleet.run(1);
      Fleet.wake(Next);
      Fleet.reconnect((Host + 5) % 12);
    }
    CHECK(Fleet.mostInARest(0) <= AllowedInARest);
  }
}

// Guards against a target that states a rate, too, and whose tokens were
// granted before the rest.
TEST(TargetRest, aStatedRateDoesNotEndIt) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.state(0, 8);
    Fleet.run(4);
    Fleet.rest(0, 3);
    Fleet.run(9);
    CHECK(Fleet.mostInARest(0) <= AllowedInARest);
    CHECK(Fleet.worstExcess(0, false) <= 0);
  }
}

// Guards against callers that are told to come back while all targets rest, or
// all at the same moment.
TEST(TargetRest, whereAllRestCallersAreToldWhenTheFirstEndsAndAreSpread) {
  constexpr double Rest = 4;
  StatedRateFleet Size = busyFleet();
  Size.Targets_ = 3;
  StatedRateSimulation Fleet(Size, 1);
  Fleet.run(4);
  for (std::size_t Target = 0; Target < Size.Targets_; ++Target)
    Fleet.rest(Target, Rest);
  Fleet.run(2);
  const std::size_t Before = Fleet.retryAfters().size();
  Fleet.run(1);
  const std::vector<double> Told(Fleet.retryAfters().begin() +
                                     static_cast<std::ptrdiff_t>(Before),
                                 Fleet.retryAfters().end());
  CHECK(Told.size() > 30);
  const auto [Least, Most] = std::minmax_element(Told.begin(), Told.end());
  CHECK(*Least >= Rest - 3.1);
  CHECK(*Most - *Least >= 0.5);
  for (std::size_t Target = 0; Target < Size.Targets_; ++Target)
    CHECK(Fleet.mostInARest(Target) <= AllowedInARest);
}

/// Targets whose answers say that they leave, and whose entries do not.
TEST_GROUP(TargetLeaving){};

TEST(TargetLeaving, twelveHostsSendNothingMore) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.leave(0);
    Fleet.run(8);
    LONGS_EQUAL(0, Fleet.sentToLeaving(0, DrainSeconds, true));
    // Hosts that have not asked it since hear of it from the others.
    LONGS_EQUAL(0, Fleet.sentToLeaving(0, NewsSeconds, false));
  }
}

TEST(TargetLeaving, threeHundredHostsSendNothingMore) {
  StatedRateSimulation Fleet(largeFleet(), 1);
  Fleet.run(2);
  for (std::size_t Target = 0; Target < 20; ++Target)
    Fleet.leave(Target);
  Fleet.run(6);
  for (std::size_t Target = 0; Target < 20; ++Target) {
    LONGS_EQUAL(0, Fleet.sentToLeaving(Target, DrainSeconds, true));
    LONGS_EQUAL(0, Fleet.sentToLeaving(Target, NewsSeconds, false));
  }
}

// Guards against an entry, written before, that makes hosts forget what the
// target said.
TEST(TargetLeaving, olderEntriesDoNotEndIt) {
  StatedRateSimulation Fleet(busyFleet(), 1);
  Fleet.run(4);
  Fleet.leave(0);
  Fleet.run(1);
  for (int Times = 0; Times < 4; ++Times) {
    Fleet.dropEntries();
    Fleet.run(0.3);
    Fleet.restoreEntries();
    Fleet.run(0.9);
  }
  LONGS_EQUAL(0, Fleet.sentToLeaving(0, DrainSeconds, true));
}

TEST(TargetLeaving, aNewStartIsUsedAgain) {
  StatedRateSimulation Fleet(busyFleet(), 1);
  Fleet.run(4);
  Fleet.leave(0);
  Fleet.run(4);
  Fleet.startTarget(0);
  Fleet.run(8);
  CHECK(Fleet.rateAt(0, 6) > 1);
}
