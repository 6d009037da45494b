#include "exchange/HostReport.h"

#include "CppUTest/TestHarness.h"

namespace budget = lychee::budget;
using lychee::exchange::HostReport;
using lychee::exchange::significanceOf;

namespace {

HostReport withOffer(budget::Parts Rate, std::int64_t Tokens) {
  HostReport Made;
  Made.Offers_ = {{"rate/parish", Rate, Tokens}};
  return Made;
}

} // namespace

TEST_GROUP(HostReport){};

TEST(HostReport, aSmallChangeOfAnOfferIsNothingNew) {
  CHECK(significanceOf(withOffer(1000, 9000)) ==
        significanceOf(withOffer(1010, 9100)));
}

// A host that offered much has given most of it away. Peers that still count on
// its first report would ask it in vain while their requests wait.
TEST(HostReport, anOfferThatIsUsedUpIsNew) {
  CHECK(significanceOf(withOffer(1000, 9000)) !=
        significanceOf(withOffer(1000, 4000)));
  CHECK(significanceOf(withOffer(1000, 9000)) !=
        significanceOf(withOffer(0, 9000)));
  CHECK(significanceOf(withOffer(1000, 9000)) != significanceOf(HostReport()));
}

TEST(HostReport, anEpochEnteredAndEvidenceAreNew) {
  HostReport Entered;
  Entered.Entered_ = 7;
  CHECK(significanceOf(Entered) != significanceOf(HostReport()));
  HostReport Evidence;
  Evidence.Evidence_.resize(1);
  CHECK(significanceOf(Evidence) != significanceOf(HostReport()));
}
