#include "dispatch/WorkTimes.h"

#include "CppUTest/TestHarness.h"

using lychee::dispatch::WorkTimes;
using namespace std::chrono_literals;

TEST_GROUP(WorkTimes) { WorkTimes Work_; };

// Half of the runs are cold and take 3.3 times as long. One mean over both
// would call each warm target quick and each cold one slow.
TEST(WorkTimes, warmAndColdRunsAreLearnedApart) {
  for (int Each = 0; Each < 40; ++Each) {
    Work_.seen(3.5, false);
    Work_.seen(1.05, true);
  }
  DOUBLES_EQUAL(3.5, Work_.coldSeconds(), 0.01);
  DOUBLES_EQUAL(1.05, Work_.warmSeconds(), 0.01);
  CHECK(Work_.usualSeconds() > 1.5 && Work_.usualSeconds() < 3);
}

// Another host warmed the target, which this one does not know.
TEST(WorkTimes, aShortRunWasWarmWhetherKnownOrNot) {
  for (int Each = 0; Each < 10; ++Each) {
    Work_.seen(0.9, false);
    Work_.seen(0.27, true);
  }
  CHECK(Work_.wasWarm(0.3, false));
  CHECK_FALSE(Work_.wasWarm(0.8, false));
  Work_.seen(0.27, false);
  DOUBLES_EQUAL(0.9, Work_.coldSeconds(), 0.01);
}

// Targets that keep nothing: no object has a reason to wait for its own place.
TEST(WorkTimes, whereRunsDoNotDifferBothTimesBecomeTheSame) {
  for (int Each = 0; Each < 60; ++Each)
    Work_.seen(0.2, Each > 10);
  DOUBLES_EQUAL(0.2, Work_.coldSeconds(), 0.005);
  DOUBLES_EQUAL(0.2, Work_.warmSeconds(), 0.005);
}

TEST(WorkTimes, oneStrangeRunAmongManyIsBounded) {
  for (int Each = 0; Each < 30; ++Each)
    Work_.seen(0.2, true);
  Work_.seen(20, true);
  CHECK(Work_.warmSeconds() < 0.23);
}

TEST(WorkTimes, beforeAnythingWasSeenColdTakesLonger) {
  CHECK(Work_.coldSeconds() > 3 * Work_.warmSeconds());
}

// Guards against requests that are sent where they cannot end in time, since a
// host that has just started takes each run for a short one.
TEST(WorkTimes, aStatedObjectiveIsTheFirstGuess) {
  const WorkTimes Long(1200ms);
  DOUBLES_EQUAL(0.6, Long.warmSeconds(), 0.001);
  DOUBLES_EQUAL(0.6, Long.usualSeconds(), 0.001);
  CHECK(Long.coldSeconds() > 1.2);
  CHECK_FALSE(Long.isKnown());
}

// Guards against the same after a restart beside hosts that know.
TEST(WorkTimes, whatOthersLearnedHoldsUntilARunIsSeen) {
  WorkTimes Started(1200ms);
  Started.adopt(0.4, 1.3, 0.5);
  DOUBLES_EQUAL(0.4, Started.warmSeconds(), 0.001);
  DOUBLES_EQUAL(1.3, Started.coldSeconds(), 0.001);
  DOUBLES_EQUAL(0.5, Started.usualSeconds(), 0.001);
  Work_.seen(0.2, true);
  Work_.adopt(0.4, 1.3, 0.5);
  DOUBLES_EQUAL(0.2, Work_.warmSeconds(), 0.001);
}
