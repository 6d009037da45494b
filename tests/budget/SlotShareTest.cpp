#include "budget/SlotShare.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using budget::SlotShare;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start{seconds(1000)};
constexpr base::TimePoint LeaseEnd = Start + seconds(100);

SlotShare makeShare(const char *Self, std::int64_t Total,
                    std::uint32_t Holders) {
  SlotShare Share("region", base::HostId(Self), Total);
  Share.enterEpoch(1, budget::equalShare(Holders), LeaseEnd, Start);
  Share.settle(1);
  return Share;
}

} // namespace

TEST_GROUP(SlotShare){};

TEST(SlotShare, aShareIsNeverExceeded) {
  SlotShare Share = makeShare("one", 90, 10);
  CHECK_FALSE(Share.acquire(10, Start));
  CHECK(Share.acquire(8, Start));
  CHECK_FALSE(Share.acquire(2, Start));
  Share.release(8);
  LONGS_EQUAL(0, Share.inUse());
}

// A peer requests more slots than the host has free. Donating a slot in use
// would let the receiver run a second request on it.
TEST(SlotShare, slotsInUseAreNeverDonated) {
  SlotShare Donor = makeShare("one", 80, 8);
  CHECK(Donor.acquire(8, Start));
  SlotShare Receiver = makeShare("two", 80, 8);
  const auto Donated = Donor.donate(base::HostId("two"), 10, Start);
  CHECK(Donated.has_value());
  CHECK(Receiver.accept(Donated.value_or(budget::Transfer()), Start));
  LONGS_EQUAL(0, Donor.spare(Start));
  LONGS_EQUAL(12, Receiver.spare(Start));
  CHECK_FALSE(Donor.donate(base::HostId("two"), 1, Start).has_value());
}

// A new epoch halves a host's share while more slots than that are in use.
// Running requests are not interrupted; until enough of them have ended the
// host acquires no slot, and the others do not get their larger shares yet.
TEST(SlotShare, aSmallerAllotmentWaitsForRunningRequests) {
  SlotShare Share = makeShare("one", 80, 4);
  CHECK(Share.acquire(15, Start));
  const budget::ShareAmount Smaller = budget::equalShare(8);
  CHECK_FALSE(Share.fitsAllotment(Smaller));
  Share.enterEpoch(2, Smaller, LeaseEnd, Start);
  LONGS_EQUAL(0, Share.spare(Start));
  Share.release(6);
  CHECK(Share.fitsAllotment(Smaller));
}
