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
  RegionSplit RegionSplit_{Small};
  base::TimePoint Now_ = base::TimePoint(100s);
  std::map<base::RegionId, RegionLoad> Loads_ = {
      {Small, {12, 0}}, {Large, {42, 0}}, {Third, {36, 0}}};

  void advance(base::Duration Time) {
    for (base::Duration Spent{}; Spent < Time; Spent += 250ms) {
      Now_ += 250ms;
      RegionSplit_.update(Loads_, Now_);
    }
  }
  double shareIn(const base::RegionId &Region, std::uint64_t BodyBytes = 0,
                 const std::vector<base::RegionId> *Homes = nullptr) const {
    int Hits = 0;
    for (std::uint64_t Object = 1; Object <= 4000; ++Object)
      Hits += RegionSplit_.regionFor(Object * 7919, BodyBytes, Homes) == Region;
    return Hits / 4000.0;
  }
};

// A region with a third of the callers has a seventh of the slots. Kept there,
// its requests would wait while other regions have free slots.
TEST(RegionSplit, requestsWithoutSlotsLeaveTheRegion) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  Loads_[Third].Demand_ = 12;
  advance(30s);
  DOUBLES_EQUAL(0.5, RegionSplit_.spilloverShare(), 0.01);
  DOUBLES_EQUAL(0.5, shareIn(Small), 0.03);
}

// The first answers show that requests run three times as long as was assumed.
// The slots that bound requests leave free seem to shrink at once, although no
// slot was added or removed: the share that leaves still changes at its slow
// pace.
TEST(RegionSplit, longerBoundRequestsDoNotCauseAFastChange) {
  Loads_[Small].Demand_ = 5;
  advance(5s);
  DOUBLES_EQUAL(0, RegionSplit_.spilloverShare(), 0.001);
  for (auto &[Region, Load] : Loads_)
    Load.BoundDemand_ = 8;
  Loads_[Small].Demand_ = 15;
  const double Before = shareIn(Small);
  advance(2s);
  CHECK(Before - shareIn(Small) < 0.1);
}

TEST(RegionSplit, aRegionWithFreeSlotsKeepsAllRequests) {
  Loads_[Small].Demand_ = 5;
  Loads_[Large].Demand_ = 5;
  advance(30s);
  DOUBLES_EQUAL(1, shareIn(Small), 0);
}

TEST(RegionSplit, withoutDemandCallersAreAssumedToBeSpreadEvenly) {
  RegionSplit_.update(Loads_, Now_);
  DOUBLES_EQUAL(0.6, RegionSplit_.spilloverShare(), 0.001);
}

// The region's demand more than doubles at once. If the share followed at once,
// a third of its requests would change region within 2 s, and reach targets
// that are cold for them.
TEST(RegionSplit, theShareChangesSlowly) {
  Loads_[Small].Demand_ = 6;
  Loads_[Large].Demand_ = 6;
  advance(30s);
  Loads_[Small].Demand_ = 14;
  const double Before = RegionSplit_.spilloverShare();
  advance(2s);
  CHECK(RegionSplit_.spilloverShare() - Before <=
        2 * RegionSplit::MaxChangePerSecond + 0.001);
  CHECK(RegionSplit_.spilloverShare() > Before);
}

TEST(RegionSplit, afterALossOfSlotsItChangesFast) {
  Loads_[Small].Demand_ = 6;
  Loads_[Large].Demand_ = 6;
  advance(30s);
  Loads_[Small].Slots_ = 1;
  advance(2s);
  CHECK(RegionSplit_.spilloverShare() > 0.5);
}

// As the share changes, objects that are warm somewhere must stay there.
TEST(RegionSplit, objectsChangeRegionOneByOne) {
  Loads_[Small].Demand_ = 9;
  Loads_[Large].Demand_ = 9;
  advance(30s);
  std::vector<base::RegionId> Before;
  for (std::uint64_t Object = 1; Object <= 1000; ++Object)
    Before.push_back(RegionSplit_.regionFor(Object * 7919, 0, nullptr));
  const double Old = RegionSplit_.spilloverShare();
  Loads_[Small].Demand_ = 10;
  advance(30s);
  int Moved = 0;
  for (std::uint64_t Object = 1; Object <= 1000; ++Object)
    Moved +=
        RegionSplit_.regionFor(Object * 7919, 0, nullptr) != Before[Object - 1];
  CHECK(Moved <= (RegionSplit_.spilloverShare() - Old) * 1000 * 1.5 + 20);
}

TEST(RegionSplit, largeBodiesAreTheLastToLeave) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  advance(30s);
  CHECK(shareIn(Small, 60'000) > shareIn(Small) + 0.15);
}

TEST(RegionSplit, homeRegionsBind) {
  Loads_[Small].Demand_ = 14.4;
  Loads_[Large].Demand_ = 12;
  advance(30s);
  const std::vector<base::RegionId> OnlyThird{Third};
  const std::vector<base::RegionId> OnlySmall{Small};
  DOUBLES_EQUAL(1, shareIn(Third, 0, &OnlyThird), 0);
  DOUBLES_EQUAL(1, shareIn(Small, 0, &OnlySmall), 0);
}

TEST(RegionSplit, withoutFreeSlotsAnywhereAllStay) {
  for (auto &[Region, Load] : Loads_)
    Load.Demand_ = Load.Slots_ * 2;
  advance(60s);
  DOUBLES_EQUAL(0, RegionSplit_.spilloverShare(), 0.001);
}
