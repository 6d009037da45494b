#include "exchange/OfferBook.h"

#include <array>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using lychee::exchange::OfferBook;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Now{seconds(100)};
const base::HostId One("one");
const base::HostId Two("two");

budget::Ask askFor(budget::Parts Rate, std::int64_t Tokens) {
  budget::Ask Made;
  Made.Budget_ = "rate/parish";
  Made.Rate_ = Rate;
  Made.Tokens_ = Tokens;
  return Made;
}

} // namespace

TEST_GROUP(OfferBook) {
  OfferBook Book_;

  void hear(const base::HostId &Peer, budget::Parts Rate, std::int64_t Tokens,
            base::TimePoint At = Now) {
    Book_.heard(
        Peer, std::array{budget::SpareOffer{"rate/parish", Rate, Tokens}}, At);
  }
};

TEST(OfferBook, withoutOffersNobodyIsAsked) {
  CHECK_FALSE(Book_.takeDonor(askFor(5, 5), Now).has_value());
}

// Requests wait for tokens. One peer has much rate and few tokens, another the
// tokens that are wanted: the second one ends the wait.
TEST(OfferBook, wantedTokensGoBeforeRate) {
  hear(One, 1000, 1);
  hear(Two, 10, 50);
  CHECK(Two == Book_.takeDonor(askFor(500, 40), Now));
}

TEST(OfferBook, anOfferIsUsedOnce) {
  hear(One, 1000, 10);
  CHECK(One == Book_.takeDonor(askFor(5, 5), Now));
  CHECK_FALSE(Book_.takeDonor(askFor(5, 5), Now).has_value());
}

TEST(OfferBook, anOldOrWithdrawnOfferIsNotUsed) {
  hear(One, 1000, 10);
  CHECK_FALSE(
      Book_.takeDonor(askFor(5, 5), Now + OfferBook::OfferLife + seconds(1))
          .has_value());
  hear(Two, 1000, 10);
  Book_.heard(Two, {}, Now);
  CHECK_FALSE(Book_.takeDonor(askFor(5, 5), Now).has_value());
}
