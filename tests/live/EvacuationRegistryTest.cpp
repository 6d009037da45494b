#include "live/EvacuationRegistry.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::live::EvacuationRegistry;
using namespace std::chrono_literals;

TEST_GROUP(EvacuationRegistry) {
  EvacuationRegistry Evacuations_;
  const base::ZoneId Zone_ = base::ZoneId("near-1");
  base::TimePoint Now_ = base::TimePoint(100s);

  void order(bool Evacuated, base::Duration At) {
    Evacuations_.set(Zone_, Evacuated, false, Now_ + At);
  }
  bool restore(bool Evacuated, base::Duration At) {
    return Evacuations_.set(Zone_, Evacuated, true, Now_ + At);
  }
  bool isEvacuatedAt(base::Duration At) {
    Evacuations_.expire(Now_ + At);
    return Evacuations_.zones().contains(Zone_);
  }
};

TEST(EvacuationRegistry, ordersCountAtOnce) {
  order(true, 0s);
  CHECK(Evacuations_.takeChanged());
  CHECK(isEvacuatedAt(0s));
  order(false, 1s);
  CHECK_FALSE(isEvacuatedAt(1s));
  CHECK(Evacuations_.takeChanged());
}

TEST(EvacuationRegistry, evacuationMissingFromACopyStaysUntilItIsOrderedAgain) {
  order(true, 0s);
  CHECK(restore(false, 1s));
  CHECK(isEvacuatedAt(3s));
  order(true, 3s);
  CHECK(isEvacuatedAt(60s));
}

TEST(EvacuationRegistry, evacuationThatIsNotOrderedAgainEnds) {
  order(true, 0s);
  restore(false, 1s);
  CHECK_FALSE(isEvacuatedAt(4s));
}

TEST(EvacuationRegistry, liftedEvacuationInACopyWaitsToBeLiftedAgain) {
  order(true, 0s);
  order(false, 1s);
  CHECK(restore(true, 2s));
  CHECK_FALSE(isEvacuatedAt(4s));
  order(false, 4s);
  CHECK_FALSE(isEvacuatedAt(60s));
}

TEST(EvacuationRegistry, evacuationThatACopyShowsForLongCounts) {
  order(true, 0s);
  order(false, 1s);
  restore(true, 2s);
  CHECK(isEvacuatedAt(5s));
}

TEST(EvacuationRegistry, unknownEvacuationInACopyCountsAtOnce) {
  CHECK_FALSE(restore(true, 0s));
  CHECK(isEvacuatedAt(0s));
}

TEST(EvacuationRegistry, secondRestoreGivesTheWholeTimeAgain) {
  order(true, 0s);
  restore(false, 1s);
  Evacuations_.noteRestore(Now_ + 3s);
  CHECK(isEvacuatedAt(5800ms));
  CHECK_FALSE(isEvacuatedAt(6s));
}
