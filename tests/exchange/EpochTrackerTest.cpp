#include "exchange/EpochTracker.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::exchange::EpochTracker;

namespace {

const base::HostId One("one#1");
const base::HostId Two("two#1");
const base::HostId TwoAgain("two#2");

} // namespace

TEST_GROUP(EpochTracker) { EpochTracker Tracker_; };

// A host starts while its peers still use shares of the epoch before.
// Were it to settle at once, since it knows of no older holder, its new
// allotment would come on top of what they still use.
TEST(EpochTracker, aFreshHostWaitsForEveryMember) {
  CHECK(Tracker_.enter(5, std::array{One, Two}));
  Tracker_.entered(One, 5);
  CHECK_FALSE(Tracker_.settled());
  Tracker_.entered(Two, 4);
  CHECK_FALSE(Tracker_.settled());
  Tracker_.entered(Two, 5);
  CHECK(Tracker_.settled());
}

TEST(EpochTracker, aHostThatTheDirectoryLeftOutIsNotWaitedFor) {
  Tracker_.enter(5, std::array{One, Two});
  CHECK(Tracker_.enter(6, std::array{One}));
  Tracker_.entered(One, 6);
  CHECK(Tracker_.settled());
}

// A host restarts under its name. Its new process holds nothing, and its old
// one has no lease: neither is waited for, only those that stayed.
TEST(EpochTracker, aRestartedHostIsAnotherProcess) {
  Tracker_.enter(1, std::array{One, Two});
  Tracker_.entered(One, 1);
  Tracker_.entered(Two, 1);
  CHECK(Tracker_.enter(2, std::array{One, TwoAgain}));
  CHECK_FALSE(Tracker_.settled());
  Tracker_.entered(One, 2);
  CHECK(Tracker_.settled());
}

TEST(EpochTracker, anOlderEpochChangesNothing) {
  Tracker_.enter(5, std::array{One});
  CHECK_FALSE(Tracker_.enter(4, std::array{One, Two}));
  CHECK_FALSE(Tracker_.enter(5, std::array{One, Two}));
  LONGS_EQUAL(5, Tracker_.epoch());
}
