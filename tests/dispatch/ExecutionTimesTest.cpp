#include "dispatch/ExecutionTimes.h"

#include "CppUTest/TestHarness.h"

using lychee::dispatch::ExecutionTimes;
using namespace std::chrono_literals;

TEST_GROUP(ExecutionTimes) { ExecutionTimes ExecutionTimes_; };

// Half of the runs are cold and take 3.3 times as long. By one mean over both,
// each warm target would seem fast and each cold one slow.
TEST(ExecutionTimes, warmAndColdRunsAreLearnedSeparately) {
  for (int Run = 0; Run < 40; ++Run) {
    ExecutionTimes_.record(3.5, false);
    ExecutionTimes_.record(1.05, true);
  }
  DOUBLES_EQUAL(3.5, ExecutionTimes_.coldSeconds(), 0.01);
  DOUBLES_EQUAL(1.05, ExecutionTimes_.warmSeconds(), 0.01);
  CHECK(ExecutionTimes_.meanSeconds() > 1.5 &&
        ExecutionTimes_.meanSeconds() < 3);
}

// Another host warmed the target, which this one does not know.
TEST(ExecutionTimes, aShortRunCountsAsWarmWhetherKnownOrNot) {
  for (int Run = 0; Run < 10; ++Run) {
    ExecutionTimes_.record(0.9, false);
    ExecutionTimes_.record(0.27, true);
  }
  CHECK(ExecutionTimes_.wasWarm(0.3, false));
  CHECK_FALSE(ExecutionTimes_.wasWarm(0.8, false));
  ExecutionTimes_.record(0.27, false);
  DOUBLES_EQUAL(0.9, ExecutionTimes_.coldSeconds(), 0.01);
}

// Targets without a cache: no object has a reason to wait for its preferred
// target.
TEST(ExecutionTimes, whereRunsDoNotDifferBothTimesConverge) {
  for (int Run = 0; Run < 60; ++Run)
    ExecutionTimes_.record(0.2, Run > 10);
  DOUBLES_EQUAL(0.2, ExecutionTimes_.coldSeconds(), 0.005);
  DOUBLES_EQUAL(0.2, ExecutionTimes_.warmSeconds(), 0.005);
}

TEST(ExecutionTimes, anOutlierAmongManyRunsIsBounded) {
  for (int Run = 0; Run < 30; ++Run)
    ExecutionTimes_.record(0.2, true);
  ExecutionTimes_.record(20, true);
  CHECK(ExecutionTimes_.warmSeconds() < 0.23);
}

TEST(ExecutionTimes, beforeAnyRunAColdOneIsAssumedToTakeLonger) {
  CHECK(ExecutionTimes_.coldSeconds() > 3 * ExecutionTimes_.warmSeconds());
}

// Guards against requests that are sent where they cannot finish in time,
// because a host that has just started assumes each run to be short.
TEST(ExecutionTimes, aStatedObjectiveGivesTheInitialTimes) {
  const ExecutionTimes Long(1200ms);
  DOUBLES_EQUAL(0.6, Long.warmSeconds(), 0.001);
  DOUBLES_EQUAL(0.6, Long.meanSeconds(), 0.001);
  CHECK(Long.coldSeconds() > 1.2);
  CHECK_FALSE(Long.isKnown());
}

// Guards against the same after a restart beside hosts that have learned the
// times.
TEST(ExecutionTimes, adoptedTimesHoldUntilARunIsRecorded) {
  ExecutionTimes Restarted(1200ms);
  Restarted.adopt(0.4, 1.3, 0.5);
  DOUBLES_EQUAL(0.4, Restarted.warmSeconds(), 0.001);
  DOUBLES_EQUAL(1.3, Restarted.coldSeconds(), 0.001);
  DOUBLES_EQUAL(0.5, Restarted.meanSeconds(), 0.001);
  ExecutionTimes_.record(0.2, true);
  ExecutionTimes_.adopt(0.4, 1.3, 0.5);
  DOUBLES_EQUAL(0.2, ExecutionTimes_.warmSeconds(), 0.001);
}
