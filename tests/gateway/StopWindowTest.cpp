#include "gateway/StopWindow.h"

#include "CppUTest/TestHarness.h"

using lychee::base::Duration;
using lychee::base::TimePoint;
using lychee::gateway::StopWindow;
using namespace std::chrono_literals;

TEST_GROUP(StopWindow) {
  const TimePoint Begin_ = TimePoint(100s);
  const StopWindow Stop_{Begin_, 6s};

  bool mayBegin(Duration After, Duration Allowed,
                std::optional<Duration> Expected = std::nullopt) const {
    return Stop_.mayBegin(Begin_ + After + Allowed, Expected, Begin_ + After);
  }
};

TEST(StopWindow, workThatEndsInTimeBeginsAtAnyMoment) {
  CHECK(mayBegin(0s, 4s, 3s));
  CHECK(mayBegin(1900ms, 4s, 3s));
  CHECK(mayBegin(5s, 800ms));
}

TEST(StopWindow, anAnswerMustBeWrittenBeforeTheEnd) {
  CHECK_FALSE(mayBegin(5s, 1s));
  CHECK_FALSE(mayBegin(5s, 980ms));
}

// Work with a tail was begun where it usually ends, and the tail was cut.
TEST(StopWindow, workThatWouldHaveFitIsNotBegunByWhatIsExpected) {
  CHECK_FALSE(mayBegin(2s, 4s, 1ms));
  CHECK_FALSE(mayBegin(1s, 5500ms));
}

TEST(StopWindow, earlyInAStopWorkLongerThanAStopBeginsThatIsExpectedToEnd) {
  CHECK(mayBegin(1s, 20s, 1s));
  CHECK(mayBegin(1s, 20s));
  CHECK_FALSE(mayBegin(1s, 20s, 3s));
}

TEST(StopWindow, lateInAStopOnlyTheDeadlineCounts) {
  CHECK(mayBegin(2900ms, 20s, 1s));
  CHECK_FALSE(mayBegin(3s, 20s, 1ms));
  CHECK_FALSE(mayBegin(3s, 20s));
}
