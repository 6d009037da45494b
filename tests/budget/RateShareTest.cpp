#include "budget/RateShare.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using budget::RateShare;
using budget::RateTotal;
using budget::SpendResult;
using budget::TokensPerRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start{seconds(1000)};
constexpr base::Duration LeaseTerm = seconds(2000);
const base::HostId One("one");
const base::HostId Two("two");

RateShare makeShare(const base::HostId &Self, double Rate, double Burst) {
  RateShare Share("customer", Self, RateTotal::fromRequests(Rate, Burst),
                  Start);
  Share.enterEpoch(1, budget::equalShare(2), Start + LeaseTerm, Start);
  Share.settle(1, Start);
  return Share;
}

/// \returns the transfer, which the test expects to exist.
budget::Transfer transferOf(const std::optional<budget::Transfer> &Donated) {
  CHECK(Donated.has_value());
  return Donated.value_or(budget::Transfer());
}

} // namespace

TEST_GROUP(RateShare){};

// A fleet is restarted ten times in a minute. If buckets started full, each
// restart would grant the customer its whole burst again.
TEST(RateShare, aNewBucketIsEmpty) {
  RateShare Share = makeShare(One, 100, 50);
  CHECK(SpendResult::Insufficient == Share.spend(TokensPerRequest, Start));
  CHECK(SpendResult::Granted ==
        Share.spend(TokensPerRequest, Start + milliseconds(21)));
}

// Half the fleet's clocks run fast by as much as a slewed clock may. Each host
// fills its bucket by its own clock, and all together must stay within the rate
// in true time: half of 100/s for a thousand seconds is 50,000 requests, and
// 500 per million more would be 25 too many.
TEST(RateShare, aFastClockDoesNotRaiseTheRate) {
  RateShare Share = makeShare(One, 100, 8);
  constexpr double Fast = 1.0005;
  std::int64_t Granted = 0;
  for (int Step = 1; Step <= 1000 * 100; ++Step) {
    const base::TimePoint Now = Start + base::fromSeconds(Step * 0.01 * Fast);
    Granted += Share.spend(TokensPerRequest, Now) == SpendResult::Granted;
  }
  CHECK(Granted <= 50'000);
  CHECK(Granted >= 49'950);
}

TEST(RateShare, nothingIsSpentWithoutAValidLease) {
  RateShare Share = makeShare(One, 100, 50);
  const base::TimePoint Expired = Start + LeaseTerm;
  CHECK(SpendResult::Granted ==
        Share.spend(TokensPerRequest, Expired - milliseconds(1)));
  CHECK(SpendResult::NoShare == Share.spend(TokensPerRequest, Expired));
}

// The store is slow, so that a lease expires before it is renewed in the same
// epoch. The share cannot have gone to another host, so that it is usable again
// at once.
TEST(RateShare, aRenewalInTheSameEpochRestoresTheShare) {
  RateShare Share = makeShare(One, 100, 50);
  const base::TimePoint Late = Start + LeaseTerm + seconds(1);
  Share.setTotal(RateTotal::fromRequests(200, 50), Late);
  CHECK(SpendResult::NoShare == Share.spend(TokensPerRequest, Late));
  Share.renewLease(1, Late + seconds(10), Late);
  CHECK(SpendResult::Granted ==
        Share.spend(TokensPerRequest, Late + milliseconds(100)));
}

// A host is paused beyond its lease, excluded from one epoch and a member of
// the next. Its parts went to others in between. It begins with nothing, and
// gets its allotment once the epoch settles.
TEST(RateShare, nothingIsKeptAcrossAnExpiredLease) {
  RateShare Share = makeShare(One, 100, 50);
  const base::TimePoint Late = Start + LeaseTerm + seconds(1);
  Share.enterEpoch(3, budget::equalShare(2), Late + seconds(10), Late);
  CHECK(SpendResult::NoShare == Share.spend(TokensPerRequest, Late));
  Share.settle(3, Late);
  CHECK(SpendResult::Insufficient == Share.spend(TokensPerRequest, Late));
}

TEST(RateShare, aTransferMovesPartsAndTokensOnce) {
  RateShare Donor = makeShare(One, 100, 50);
  RateShare Receiver = makeShare(Two, 100, 50);
  const base::TimePoint Now = Start + seconds(1);
  const budget::Transfer Donated = transferOf(
      Donor.donate(Two, {budget::TotalParts / 4, budget::TotalParts / 4},
                   10 * TokensPerRequest, Now));
  LONGS_EQUAL(10 * TokensPerRequest, Donated.Tokens_);
  // The donor kept a quarter of the capacity, 12.5 of its 25 tokens.
  LONGS_EQUAL(TokensPerRequest * 25 / 2, Donor.level(Now));
  CHECK(Receiver.accept(Donated, Now));
  LONGS_EQUAL(35 * TokensPerRequest, Receiver.level(Now));
  CHECK_FALSE(Receiver.accept(Donated, Now));
  LONGS_EQUAL(35 * TokensPerRequest, Receiver.level(Now));
}

// A donor donates all its tokens and keeps capacity for more. If the tokens
// stayed in its bucket as well, they would be spent twice.
TEST(RateShare, tokensLeaveTheDonor) {
  RateShare Donor = makeShare(One, 100, 50);
  const base::TimePoint Now = Start + milliseconds(202);
  const budget::Transfer Donated = transferOf(Donor.donate(
      Two, {0, budget::TotalParts / 4}, 10 * TokensPerRequest, Now));
  LONGS_EQUAL(10 * TokensPerRequest, Donated.Tokens_);
  CHECK(SpendResult::Insufficient == Donor.spend(TokensPerRequest, Now));
}

// A donor has many tokens and donates little capacity. While the message is in
// transit, the donor's bucket refills to its limit; tokens beyond the donated
// capacity would make the sum larger than the burst.
TEST(RateShare, aTransferCarriesNoMoreTokensThanItsCapacity) {
  RateShare Donor = makeShare(One, 100, 50);
  const base::TimePoint Now = Start + seconds(1);
  const budget::Transfer Donated = transferOf(Donor.donate(
      Two, {0, budget::TotalParts / 50}, 20 * TokensPerRequest, Now));
  CHECK(Donated.Tokens_ <= TokensPerRequest);
}

// Operators double a customer's rate while a transfer is in transit. The donor
// used the old rate, the receiver uses the new one. Shares are fractions, so
// that this neither creates nor loses budget.
TEST(RateShare, aTransferThatCrossesARateChangeKeepsTheSum) {
  RateShare Donor = makeShare(One, 100, 50);
  RateShare Receiver = makeShare(Two, 100, 50);
  const budget::Transfer Donated =
      transferOf(Donor.donate(Two, {budget::TotalParts / 4, 0}, 0, Start));
  Receiver.setTotal(RateTotal::fromRequests(200, 50), Start);
  CHECK(Receiver.accept(Donated, Start));
  Donor.setTotal(RateTotal::fromRequests(200, 50), Start);
  const budget::Parts Sum =
      Donor.share().usable(Start).Rate_ + Receiver.share().usable(Start).Rate_;
  LONGS_EQUAL(budget::TotalParts, Sum);
}
