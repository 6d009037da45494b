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
