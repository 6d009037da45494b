#include "exchange/EpochTracker.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::exchange::EpochTracker;

namespace {

const base::HostId One("one#1");
const base::HostId Two("two#1");
const base::HostId TwoRestarted("two#2");

} // namespace

TEST_GROUP(EpochTracker) { EpochTracker Tracker_; };

// A host starts while its peers still use shares of the previous epoch. If it
// settled at once, as it knows of no older holder, its new allotment would add
// to what they still use.
TEST(EpochTracker, newHostWaitsForEveryMember) {
  CHECK(Tracker_.enter(5, std::array{One, Two}));
  Tracker_.acknowledge(One, 5);
  CHECK_FALSE(Tracker_.settled());
  Tracker_.acknowledge(Two, 4);
  CHECK_FALSE(Tracker_.settled());
  Tracker_.acknowledge(Two, 5);
  CHECK(Tracker_.settled());
}

TEST(EpochTracker, hostRemovedFromTheDirectoryIsNotWaitedFor) {
  Tracker_.enter(5, std::array{One, Two});
  CHECK(Tracker_.enter(6, std::array{One}));
  Tracker_.acknowledge(One, 6);
  CHECK(Tracker_.settled());
}

// A host restarts under the same name. Its new incarnation holds nothing and
// the old one has no lease, so only the hosts that stayed are waited for.
TEST(EpochTracker, oldIncarnationOfARestartedHostIsNotWaitedFor) {
  Tracker_.enter(1, std::array{One, Two});
  Tracker_.acknowledge(One, 1);
  Tracker_.acknowledge(Two, 1);
  CHECK(Tracker_.enter(2, std::array{One, TwoRestarted}));
  CHECK_FALSE(Tracker_.settled());
  Tracker_.acknowledge(One, 2);
  CHECK(Tracker_.settled());
}

TEST(EpochTracker, olderEpochIsIgnored) {
  Tracker_.enter(5, std::array{One});
  CHECK_FALSE(Tracker_.enter(4, std::array{One, Two}));
  CHECK_FALSE(Tracker_.enter(5, std::array{One, Two}));
  LONGS_EQUAL(5, Tracker_.epoch());
}
