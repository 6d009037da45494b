#include "dispatch/RegionSplit.h"

#include <cmath>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::dispatch::RegionLoad;
using lychee::dispatch::RegionSplit;
using namespace std::chrono_literals;

namespace {
const base::RegionId Small("small");
const base::RegionId Large("large");
const base::RegionId Third("third");
} // namespace

TEST_GROUP(RegionSplit) {
  RegionSplit Split_{Small};
  base::TimePoint Now_ = base::TimePoint(100s);
  std::map<base::RegionId, RegionLoad> Loads_ = {
      {Small, {12, 0}}, {Large, {42, 0}}, {Third, {36, 0}}};

  void pass(base::Duration Time) {
    for (base::Duration Spent{}; Spent < Time; Spent += 250ms) {
      Now_ += 250ms;
      Split_.update(Loads_, Now_);
    }
  }
  double partIn(const base::RegionId &Region, std::uint64_t BodyBytes = 0,
                const std::vector<base::RegionId> *Homes = nullptr) const {
    int Hits = 0;
    for (std::uint64_t Object = 1; Object <= 4000; ++Object)
      Hits += Split_.regionFor(Object * 7919, BodyBytes, Homes) == Region;
    return Hits / 4000.0;
  }
};

// A region with a third of the callers has a seventh of the slots. Kept there,
// its requests wait while other regions have room.
TEST(RegionSplit, whatARegionHasNoSlotsForLeaves) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  Loads_[Third].Demand_ = 12;
  pass(30s);
  DOUBLES_EQUAL(0.5, Split_.leaving(), 0.01);
  DOUBLES_EQUAL(0.5, partIn(Small), 0.03);
}

// The first answers teach that requests run three times as long as was guessed.
// What bound requests leave of the slots seems to shrink at once, though no
// slot came or went: the part that leaves still moves at its slow pace.
TEST(RegionSplit, boundRequestsThatSeemLongerMoveNothingFast) {
  Loads_[Small].Demand_ = 5;
  pass(5s);
  DOUBLES_EQUAL(0, Split_.leaving(), 0.001);
  for (auto &[Region, Load] : Loads_)
    Load.Bound_ = 8;
  Loads_[Small].Demand_ = 15;
  const double Before = partIn(Small);
  pass(2s);
  CHECK(Before - partIn(Small) < 0.1);
}

TEST(RegionSplit, aRegionWithRoomKeepsAll) {
  Loads_[Small].Demand_ = 5;
  Loads_[Large].Demand_ = 5;
  pass(30s);
  DOUBLES_EQUAL(1, partIn(Small), 0);
}

TEST(RegionSplit, beforeAnyDemandCallersAreTakenToBeEven) {
  Split_.update(Loads_, Now_);
  DOUBLES_EQUAL(0.6, Split_.leaving(), 0.001);
}

// Demand of the region doubles at once. Moved at once, a third of its requests
// would change region within 2 s, and land on targets that are cold for them.
TEST(RegionSplit, thePartMovesSlowly) {
  Loads_[Small].Demand_ = 6;
  Loads_[Large].Demand_ = 6;
  pass(30s);
  Loads_[Small].Demand_ = 14;
  const double Before = Split_.leaving();
  pass(2s);
  CHECK(Split_.leaving() - Before <= 2 * RegionSplit::Pace + 0.001);
  CHECK(Split_.leaving() > Before);
}

TEST(RegionSplit, afterALossOfSlotsItMovesFast) {
  Loads_[Small].Demand_ = 6;
  Loads_[Large].Demand_ = 6;
  pass(30s);
  Loads_[Small].Slots_ = 1;
  pass(2s);
  CHECK(Split_.leaving() > 0.5);
}

// As the part moves, objects that are warm somewhere must stay there.
TEST(RegionSplit, objectsChangeRegionOneByOne) {
  Loads_[Small].Demand_ = 9;
  Loads_[Large].Demand_ = 9;
  pass(30s);
  std::vector<base::RegionId> Before;
  for (std::uint64_t Object = 1; Object <= 1000; ++Object)
    Before.push_back(Split_.regionFor(Object * 7919, 0, nullptr));
  const double Old = Split_.leaving();
  Loads_[Small].Demand_ = 10;
  pass(30s);
  int Moved = 0;
  for (std::uint64_t Object = 1; Object <= 1000; ++Object)
    Moved += Split_.regionFor(Object * 7919, 0, nullptr) != Before[Object - 1];
  CHECK(Moved <= (Split_.leaving() - Old) * 1000 * 1.5 + 20);
}

TEST(RegionSplit, longBodiesAreTheLastToLeave) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  pass(30s);
  CHECK(partIn(Small, 60'000) > partIn(Small) + 0.15);
}

TEST(RegionSplit, homesBind) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  pass(30s);
  const std::vector<base::RegionId> OnlyThird{Third};
  const std::vector<base::RegionId> OnlySmall{Small};
  DOUBLES_EQUAL(1, partIn(Third, 0, &OnlyThird), 0);
  DOUBLES_EQUAL(1, partIn(Small, 0, &OnlySmall), 0);
}

TEST(RegionSplit, withoutRoomAnywhereAllStay) {
  for (auto &[Region, Load] : Loads_)
    Load.Demand_ = Load.Slots_ * 2;
  pass(60s);
  DOUBLES_EQUAL(0, Split_.leaving(), 0.001);
}
