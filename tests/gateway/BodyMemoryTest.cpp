#include "gateway/BodyMemory.h"
#include "gateway/BodyPace.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::gateway::BodyMemory;
using lychee::gateway::BodyPace;
using lychee::gateway::BodyShare;
using namespace std::chrono_literals;

TEST_GROUP(BodyMemory) {
  static constexpr std::size_t Limit = 1000;
  BodyMemory Memory_{Limit};
  const base::TimePoint Begin_{1h};
};

TEST(BodyMemory, sharesNeverTakeMoreThanThereIs) {
  BodyShare First(Memory_);
  {
    BodyShare Second(Memory_);
    CHECK(First.tryResize(600));
    CHECK_FALSE(Second.tryResize(401));
    LONGS_EQUAL(600, Memory_.taken());
    CHECK(Second.tryResize(400));
    CHECK_FALSE(First.tryResize(601));
    CHECK(First.tryResize(100));
    LONGS_EQUAL(500, Memory_.taken());
  }
  LONGS_EQUAL(100, Memory_.taken());
}

TEST(BodyMemory, aBodyIsWaitedForAsUsualWhileThereIsMemory) {
  BodyShare Taken(Memory_);
  CHECK(Taken.tryResize(Limit / 2));
  const BodyPace Pace{Memory_.isScarce()};
  CHECK(Pace.mayGoOn(0, 1h));
  for (const base::Duration Passed : {0s, 1s, 5s, 19s})
    CHECK(Pace.waitLimit(Begin_, 20s, Begin_ + Passed) > Begin_ + Passed);
  CHECK(Pace.waitLimit(Begin_, 20s, Begin_ + 20s) <= Begin_ + 20s);
}

// Guards against bodies that keep scarce memory and do not go on.
TEST(BodyMemory, aBodyThatDoesNotGoOnEndsWhileMemoryIsScarce) {
  BodyShare Taken(Memory_);
  CHECK(Taken.tryResize(Limit / 2 + 1));
  const BodyPace Pace{Memory_.isScarce()};
  CHECK(Pace.waitLimit(Begin_, 20s, Begin_ + 999ms) > Begin_ + 999ms);
  CHECK(Pace.waitLimit(Begin_, 20s, Begin_ + 1s) <= Begin_ + 1s);
  CHECK(Pace.mayGoOn(0, 999ms));
  CHECK(Pace.mayGoOn(32UL * 1024, 2s));
  CHECK_FALSE(Pace.mayGoOn(32UL * 1024 - 1, 2s));
}

// Scarcity that begins during a wait must be noticed.
TEST(BodyMemory, aWaitIsLookedAtAgainWithinASecond) {
  const BodyPace Pace{Memory_.isScarce()};
  for (const base::Duration Passed : {0s, 3s, 10s})
    CHECK(Pace.waitLimit(Begin_, 20s, Begin_ + Passed) <= Begin_ + Passed + 1s);
}
