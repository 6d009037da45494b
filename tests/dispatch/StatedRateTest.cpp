#include "dispatch/StatedRateSimulation.h"

#include "CppUTest/TestHarness.h"

using lychee::tests::StatedRateFleet;
using lychee::tests::StatedRateSimulation;

namespace {

constexpr std::uint64_t Seeds = 3;

StatedRateFleet largeFleet() {
  StatedRateFleet Size;
  Size.Hosts_ = 300;
  Size.Targets_ = 240;
  Size.PerSecond_ = 1600;
  Size.Objects_ = 480;
  return Size;
}

} // namespace

/// Targets that state the rate that they take from all hosts together.
TEST_GROUP(StatedRate){};

// Guards against hosts that each stay below a target's rate and together send
// several times as much.
TEST(StatedRate, twelveHostsTogetherKeepIt) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(StatedRateFleet(), Seed);
    Fleet.run(4);
    Fleet.state(0, 2.1);
    Fleet.state(3, 2.9);
    Fleet.run(24);
    for (const std::size_t Target : {0, 3}) {
      CHECK(Fleet.worstExcess(Target, true) <= 0);
      CHECK(Fleet.worstExcess(Target, false) <= 0);
    }
  }
}

// The same where each host sends a request to the target once in many seconds.
TEST(StatedRate, threeHundredHostsTogetherKeepIt) {
  StatedRateSimulation Fleet(largeFleet(), 1);
  Fleet.run(2);
  Fleet.state(0, 2.1);
  Fleet.run(14);
  CHECK(Fleet.worstExcess(0, true) <= 0);
  CHECK(Fleet.worstExcess(0, false) <= 0);
}

// Guards against a limit that turns away more than it has to: callers of the
// other targets notice nothing, and the target gets at least half of what it
// takes.
TEST(StatedRate, whatItTurnsAwayIsServedElsewhere) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(StatedRateFleet(), Seed);
    Fleet.run(4);
    Fleet.state(0, 2.1);
    Fleet.run(20);
    LONGS_EQUAL(0, Fleet.refused());
    CHECK(Fleet.rateAt(0, 16) >= 2.1 / 2);
  }
}

// Guards against hosts that keep to a rate that has changed or ended.
TEST(StatedRate, aChangedRateIsKeptAndAnEndedOneForgotten) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(StatedRateFleet(), Seed);
    Fleet.run(12);
    const double Before = Fleet.rateAt(0, 10);
    for (const double PerSecond : {6.0, 1.5, 4.0, 0.3, 3.0}) {
      Fleet.state(0, PerSecond);
      Fleet.run(6);
    }
    CHECK(Fleet.worstExcess(0, false) <= 0);
    Fleet.state(0, std::nullopt);
    Fleet.run(20);
    CHECK(Fleet.rateAt(0, 10) > Before / 2);
  }
}

// Guards against a target that states 0 and is never asked again.
TEST(StatedRate, aTargetThatTakesNothingIsAskedNowAndThen) {
  StatedRateSimulation Fleet(StatedRateFleet(), 1);
  Fleet.run(4);
  Fleet.state(0, 0);
  Fleet.run(20);
  CHECK(Fleet.worstExcess(0, false) <= 0);
  Fleet.state(0, std::nullopt);
  Fleet.run(30);
  CHECK(Fleet.rateAt(0, 10) > 1);
}

// Guards against hosts that each take themselves for the one that may send:
// after a start, after a pause, and while they do not hear each other.
TEST(StatedRate, itIsKeptWhileHostsRestartFreezeAndAreCutOff) {
  for (std::uint64_t Seed = 1; Seed <= 2 * Seeds; ++Seed) {
    StatedRateSimulation Fleet(StatedRateFleet(), Seed);
    Fleet.run(4);
    Fleet.state(0, 2.1);
    Fleet.state(1, 2.9);
    Fleet.run(4);
    for (std::size_t Host = 0; Host < 12; ++Host) {
      const std::size_t Next = (Host + 1) % 12;
      Fleet.restart(Host);
      Fleet.freeze(Next);
      Fleet.cutOff((Host + 5) % 12);
      Fleet.run(1.5);
      Fleet.wake(Next);
      Fleet.run(1.5);
      Fleet.reconnect((Host + 5) % 12);
    }
    for (const std::size_t Target : {0, 1})
      CHECK(Fleet.worstExcess(Target, true) <= 0);
  }
}

// The same where all hosts of the fleet start again at once.
TEST(StatedRate, itIsKeptWhereAllHostsRestart) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(StatedRateFleet(), Seed);
    Fleet.run(4);
    Fleet.state(0, 2.1);
    Fleet.run(8);
    for (int Times = 0; Times < 3; ++Times) {
      for (std::size_t Host = 0; Host < 12; ++Host)
        Fleet.restart(Host);
      Fleet.run(5);
    }
    CHECK(Fleet.worstExcess(0, true) <= 0);
    CHECK(Fleet.rateAt(0, 4) > 0);
  }
}

// Guards against a fleet in which each host may use only the targets that it
// owns: where all targets state rates above their share of the load, callers
// are served.
TEST(StatedRate, callersAreServedWhereAllTargetsStateARate) {
  StatedRateFleet Size;
  Size.PerSecond_ = 120;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(Size, Seed);
    Fleet.run(4);
    for (std::size_t Target = 0; Target < Size.Targets_; ++Target)
      Fleet.state(Target, 8);
    Fleet.run(8);
    const int Sent = Fleet.sent();
    const int Refused = Fleet.refused();
    Fleet.run(20);
    CHECK(Fleet.refused() - Refused <= (Fleet.sent() - Sent) / 20);
    for (std::size_t Target = 0; Target < Size.Targets_; ++Target)
      CHECK(Fleet.worstExcess(Target, false) <= 0);
  }
}

/// Cold targets, whose rate applies to all hosts together.
TEST_GROUP(ColdRate) {
  /// One and a half times the rate, and 5 more.
  static constexpr int Allowed = 12;

  static StatedRateFleet busyFleet() {
    StatedRateFleet Size;
    Size.Targets_ = 6;
    return Size;
  }
};

// Guards against hosts that each take themselves for the one that sends to cold
// targets, as they have not heard each other yet.
TEST(ColdRate, itIsKeptWhereAllHostsRestart) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    for (std::size_t Host = 0; Host < 12; ++Host)
      Fleet.restart(Host);
    Fleet.makeCold(6);
    Fleet.run(6);
    for (std::size_t Target = 0; Target < 6; ++Target)
      CHECK(Fleet.mostInASecond(Target, 6) <= Allowed);
  }
}

// The same where they no longer hear each other.
TEST(ColdRate, itIsKeptWhileHostsAreCutOff) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    for (std::size_t Host = 0; Host < 12; Host += 2)
      Fleet.cutOff(Host);
    Fleet.run(3);
    Fleet.makeCold(6);
    Fleet.run(6);
    for (std::size_t Target = 0; Target < 6; ++Target)
      CHECK(Fleet.mostInASecond(Target, 6) <= Allowed);
  }
}

// Guards against cold targets that get nothing.
TEST(ColdRate, coldTargetsAreUsed) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    StatedRateSimulation Fleet(busyFleet(), Seed);
    Fleet.run(4);
    Fleet.makeCold(6);
    Fleet.run(6);
    for (std::size_t Target = 0; Target < 6; ++Target)
      CHECK(Fleet.rateAt(Target, 5) >= StatedRateSimulation::ColdPerSecond / 2);
  }
}
