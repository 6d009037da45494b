#include "budget/EpochSettlement.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::budget::EpochSettlement;

namespace {

const base::HostId One("one");
const base::HostId Two("two");
const base::HostId Three("three");

} // namespace

TEST_GROUP(EpochSettlement){};

TEST(EpochSettlement, theFirstEpochIsSettledAtOnce) {
  EpochSettlement Settlement;
  CHECK_FALSE(Settlement.settled());
  Settlement.begin(1, std::array{One, Two});
  CHECK(Settlement.settled());
}

// Host two is removed while its lease is valid, and a third epoch begins before
// the second has settled. Host two may still use its share of the first epoch,
// so that the third one settles only after its lease has expired.
TEST(EpochSettlement, anEpochInheritsThePendingHostsOfThePreviousOne) {
  EpochSettlement Settlement;
  Settlement.begin(1, std::array{One, Two});
  Settlement.begin(2, std::array{One});
  Settlement.begin(3, std::array{One, Three});
  Settlement.acknowledge(One, 3);
  CHECK_FALSE(Settlement.settled());
  Settlement.recordLeaseEnd(Two);
  CHECK(Settlement.settled());
}

TEST(EpochSettlement, anAcknowledgementOfAnOlderEpochDoesNotCount) {
  EpochSettlement Settlement;
  Settlement.begin(1, std::array{One, Two});
  Settlement.begin(2, std::array{One, Two});
  Settlement.acknowledge(One, 2);
  Settlement.acknowledge(Two, 1);
  CHECK_FALSE(Settlement.settled());
  Settlement.acknowledge(Two, 2);
  CHECK(Settlement.settled());
}
