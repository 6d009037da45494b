#include "admission/ReturnSchedule.h"
#include "admission/UsualDeadline.h"

#include <array>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::admission::ReturnSchedule;
using lychee::admission::ReturnWindow;
using lychee::admission::UsualDeadline;
using namespace std::chrono_literals;

namespace {

constexpr ReturnWindow Wide{300ms, 1200ms};

} // namespace

TEST_GROUP(ReturnSchedule) {
  base::TimePoint Now_ = base::TimePoint(100s);
  ReturnSchedule Schedule_;

  /// Books for \p PerSecond refusals a second, 1 ms apart at 1,000.
  int book(int Count, const ReturnWindow &Window, double PerSecond) {
    int Booked = 0;
    for (int Index = 0; Index < Count; ++Index) {
      Now_ += 1ms;
      Booked += Schedule_.book(Window, PerSecond, {}, Now_) ? 1 : 0;
    }
    return Booked;
  }
};

// Guards against more retries than half of the tokens can serve: they would be
// refused again.
TEST(ReturnSchedule, reservesNoMoreThanHalfOfTheRate) {
  const int Booked = book(4000, {300ms, 300ms}, 200);
  CHECK(Booked <= 4.3 * 200 / 2 + 1);
  CHECK(Booked >= 4.0 * 200 / 2 * 0.9);
}

// Guards against callers that are told the same moment.
TEST(ReturnSchedule, spreadsRetriesOverTheTimeInWhichTokensCome) {
  std::array<int, 400> Arrivals{};
  const base::TimePoint Start = Now_;
  for (int Index = 0; Index < 2000; ++Index) {
    Now_ += 1ms;
    if (const auto Position = Schedule_.book(Wide, 1000, {}, Now_))
      ++Arrivals.at(
          static_cast<std::size_t>((Now_ + Position->Wait_ - Start) / 10ms));
  }
  for (std::size_t Index = 30; Index < 200; ++Index)
    CHECK(Arrivals.at(Index) <= 1000 / 100);
}

// Guards against waits beyond the time of the caller, and against refusals
// without a wait while there is a position in time.
TEST(ReturnSchedule, neverTellsAWaitBeyondTheWindow) {
  bool IsFull = false;
  for (int Index = 0; Index < 600; ++Index) {
    Now_ += 1ms;
    const auto Position = Schedule_.book({0ms, 400ms}, 50, {}, Now_);
    IsFull = IsFull || !Position;
    if (Position)
      CHECK(Position->Wait_ <= 400ms &&
            Position->Wait_ >= ReturnSchedule::MinWait);
  }
  CHECK(IsFull);
  CHECK(!Schedule_.book({40ms, 40ms}, 1000, {}, Now_));
}

// Guards against late retries that displace those that can be answered within
// their objective: a late response is worth a fifth to a third of one in time.
TEST(ReturnSchedule, lateRetriesLeavePositionsForThoseInTime) {
  book(1000, {0ms, 1200ms}, 200);
  CHECK(book(200, {300ms, 300ms}, 200) >= 200 * 0.2 * 0.3);
}

TEST(ReturnSchedule, positionsThatAreNotClaimedAreReleased) {
  CHECK(book(100, Wide, 200) > 10);
  Now_ += 1300ms + ReturnSchedule::HoldTime;
  LONGS_EQUAL(0, Schedule_.expected(Now_));
  CHECK(!Schedule_.claim(Now_));
  const auto Next = Schedule_.book(Wide, 200, {}, Now_);
  CHECK(Next && Next->Ahead_ == 0);
}

// Guards against callers that do not wait and take the positions of those that
// do.
TEST(ReturnSchedule, aPositionIsClaimedOnceAndNotBeforeItIsDue) {
  const auto Position = Schedule_.book(Wide, 200, {}, Now_);
  CHECK(Position.has_value());
  const base::Duration Wait =
      Position.value_or(lychee::admission::ReturnPosition()).Wait_;
  CHECK(!Schedule_.claim(Now_ + 1ms));
  CHECK(Schedule_.claim(Now_ + Wait + 40ms));
  CHECK(!Schedule_.claim(Now_ + Wait + 40ms));
}

// Guards against a state that stays after a rate that fell to zero, or after
// hours without a call.
TEST(ReturnSchedule, recoversAfterARateOfZeroAndAfterAPause) {
  book(500, Wide, 2000);
  LONGS_EQUAL(0, book(1000, Wide, 0));
  Now_ += 2s;
  CHECK(book(1000, Wide, 200) > 80);
  Now_ += 10h;
  CHECK(book(1000, Wide, 200) > 80);
}

TEST_GROUP(UsualDeadline){};

// Half of the requests are retries after different waits.
TEST(UsualDeadline, retriesAreToldFromFirstAttempts) {
  UsualDeadline Usual;
  for (int Index = 0; Index < 200; ++Index) {
    Usual.record(4s);
    Usual.record(4s - 60ms - Index * 5ms);
  }
  CHECK(!Usual.isRetry(4s));
  CHECK(Usual.isRetry(3900ms));
  CHECK(Usual.isRetry(2700ms));
  // It retried at once, and waited longer than it was told.
  CHECK(!Usual.isRetry(3990ms));
  CHECK(!Usual.isRetry(2s));
}

// Guards against callers whose deadlines vary and that would all count as
// retries, and against a usual value that outlives a change.
TEST(UsualDeadline, variedDeadlinesAreNoRetriesAndAChangeIsLearned) {
  UsualDeadline Varied;
  for (int Index = 0; Index < 500; ++Index) {
    Varied.record(1s + (Index * 379 % 4000) * 1ms);
    CHECK(!Varied.isRetry(3s));
  }
  UsualDeadline Changed;
  for (int Index = 0; Index < 200; ++Index)
    Changed.record(4s);
  for (int Index = 0; Index < 200; ++Index)
    Changed.record(3s);
  CHECK(!Changed.isRetry(3s));
  CHECK(Changed.isRetry(2500ms));
}
