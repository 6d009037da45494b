#include "exchange/SpareOfferTable.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using lychee::exchange::SpareOfferTable;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Now{seconds(100)};
const base::HostId One("one");
const base::HostId Two("two");

budget::ShareRequest request(budget::Parts Rate, std::int64_t Tokens) {
  budget::ShareRequest Result;
  Result.Budget_ = "rate/parish";
  Result.Rate_ = Rate;
  Result.Tokens_ = Tokens;
  return Result;
}

} // namespace

TEST_GROUP(SpareOfferTable) {
  SpareOfferTable Table_;
  base::Random Random_{7};

  std::vector<base::HostId> selectDonors(const budget::ShareRequest &Request,
                                         base::TimePoint At = Now) {
    return Table_.takeDonors(Request, At, Random_);
  }

  void offer(const base::HostId &Peer, budget::Parts Rate, std::int64_t Tokens,
             base::TimePoint At = Now) {
    Table_.update(
        Peer, std::array{budget::SpareOffer{"rate/parish", Rate, Tokens}}, At);
  }
};

TEST(SpareOfferTable, noDonorsWithoutOffers) {
  CHECK(selectDonors(request(5, 0)).empty());
}

// Requests wait for tokens. One peer offers much rate and few tokens, another
// one the tokens needed: the second one ends the wait.
TEST(SpareOfferTable, requestedTokensTakePrecedenceOverRate) {
  offer(One, 1000, 1);
  offer(Two, 10, 50);
  CHECK(Two == selectDonors(request(500, 40)).front());
}

TEST(SpareOfferTable, offerIsUsedOnce) {
  offer(One, 1000, 10);
  CHECK(One == selectDonors(request(5, 0)).front());
  CHECK(selectDonors(request(5, 0)).empty());
}

TEST(SpareOfferTable, expiredOrWithdrawnOfferIsNotUsed) {
  offer(One, 1000, 10);
  CHECK(
      selectDonors(request(5, 0), Now + SpareOfferTable::OfferTtl + seconds(1))
          .empty());
  offer(Two, 1000, 10);
  Table_.update(Two, {}, Now);
  CHECK(selectDonors(request(5, 0)).empty());
}

// A customer's callers move to another host. The host they left holds the rate
// but has not offered it yet, as it was busy at its last report. Waiting
// requests must not wait for its next report.
TEST(SpareOfferTable, randomPeersAreAddedWhileRequestsWait) {
  Table_.setPeers(std::array{One, Two});
  CHECK_FALSE(selectDonors(request(5, 5)).empty());
  CHECK(selectDonors(request(5, 0)).empty());
  offer(Two, 10, 50);
  const std::vector<base::HostId> Donors = selectDonors(request(5, 5));
  CHECK(Two == Donors.front());
  CHECK(Donors.size() <= SpareOfferTable::MaxDonors);
}
