#include "exchange/HostReport.h"

#include "CppUTest/TestHarness.h"

namespace budget = lychee::budget;
using lychee::exchange::HostReport;
using lychee::exchange::significanceHash;

namespace {

HostReport withOffer(budget::Parts Rate, std::int64_t Tokens) {
  HostReport Result;
  Result.Offers_ = {{"rate/parish", Rate, Tokens}};
  return Result;
}

} // namespace

TEST_GROUP(HostReport){};

TEST(HostReport, smallChangeOfAnOfferIsNotSignificant) {
  CHECK(significanceHash(withOffer(1000, 9000)) ==
        significanceHash(withOffer(1010, 9100)));
}

// A host that offered much has given most of it away. Peers that still rely on
// its first report would request from it in vain while their own requests wait.
TEST(HostReport, usedUpOfferIsSignificant) {
  CHECK(significanceHash(withOffer(1000, 9000)) !=
        significanceHash(withOffer(1000, 4000)));
  CHECK(significanceHash(withOffer(1000, 9000)) !=
        significanceHash(withOffer(0, 9000)));
  CHECK(significanceHash(withOffer(1000, 9000)) !=
        significanceHash(HostReport()));
}

TEST(HostReport, enteredEpochAndEvidenceAreSignificant) {
  HostReport Entered;
  Entered.EnteredEpoch_ = 7;
  CHECK(significanceHash(Entered) != significanceHash(HostReport()));
  HostReport Evidence;
  Evidence.Evidence_.resize(1);
  CHECK(significanceHash(Evidence) != significanceHash(HostReport()));
}
