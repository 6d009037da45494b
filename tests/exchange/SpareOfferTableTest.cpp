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

budget::ShareRequest askFor(budget::Parts Rate, std::int64_t Tokens) {
  budget::ShareRequest Made;
  Made.Budget_ = "rate/parish";
  Made.Rate_ = Rate;
  Made.Tokens_ = Tokens;
  return Made;
}

} // namespace

TEST_GROUP(SpareOfferTable) {
  SpareOfferTable Book_;
  base::Random Random_{7};

  std::vector<base::HostId> take(const budget::ShareRequest &Asked,
                                 base::TimePoint At = Now) {
    return Book_.takeDonors(Asked, At, Random_);
  }

  void hear(const base::HostId &Peer, budget::Parts Rate, std::int64_t Tokens,
            base::TimePoint At = Now) {
    Book_.update(
        Peer, std::array{budget::SpareOffer{"rate/parish", Rate, Tokens}}, At);
  }
};

TEST(SpareOfferTable, withoutOffersNobodyIsAsked) {
  CHECK(take(askFor(5, 0)).empty());
}

// Requests wait for tokens. One peer has much rate and few tokens, another the
// tokens that are wanted: the second one ends the wait.
TEST(SpareOfferTable, wantedTokensGoBeforeRate) {
  hear(One, 1000, 1);
  hear(Two, 10, 50);
  CHECK(Two == take(askFor(500, 40)).front());
}

TEST(SpareOfferTable, anOfferIsUsedOnce) {
  hear(One, 1000, 10);
  CHECK(One == take(askFor(5, 0)).front());
  CHECK(take(askFor(5, 0)).empty());
}

TEST(SpareOfferTable, anOldOrWithdrawnOfferIsNotUsed) {
  hear(One, 1000, 10);
  CHECK(take(askFor(5, 0), Now + SpareOfferTable::OfferLife + seconds(1))
            .empty());
  hear(Two, 1000, 10);
  Book_.update(Two, {}, Now);
  CHECK(take(askFor(5, 0)).empty());
}

// A customer's callers move to another host. The one they left holds the rate
// and has told of nothing to spare yet, as it was busy at its last report. The
// requests that wait must not wait for its next one.
TEST(SpareOfferTable, whileRequestsWaitPeersAreDrawnToo) {
  Book_.setPeers(std::array{One, Two});
  CHECK_FALSE(take(askFor(5, 5)).empty());
  CHECK(take(askFor(5, 0)).empty());
  hear(Two, 10, 50);
  const std::vector<base::HostId> Donors = take(askFor(5, 5));
  CHECK(Two == Donors.front());
  CHECK(Donors.size() <= SpareOfferTable::DonorsAtOnce);
}
