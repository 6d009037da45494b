#include "exchange/ExchangeCodec.h"

#include "base/Random.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using lychee::exchange::ExchangeCodec;
using lychee::exchange::HostReport;

namespace {

HostReport sampleReport() {
  HostReport Result;
  Result.LoadUpdate_.Host_ = base::HostId("one#17");
  Result.LoadUpdate_.Loads_ = {
      {base::ServiceId("rota"), base::TargetId("rota-1"), 3}};
  Result.LoadUpdate_.SpareSlots_ = {
      {base::ServiceId("rota"), base::RegionId("near"), 2}};
  Result.Offers_ = {{"rate/parish", budget::TotalParts / 3, 5'000'000'000}};
  lychee::retrying::CrashEvidence Evidence;
  Evidence.Fingerprint_ = ~std::uint64_t(0);
  Evidence.Target_ = 7;
  Evidence.Age_ = std::chrono::milliseconds(1500);
  Result.Evidence_ = {Evidence};
  Result.EnteredEpoch_ = 9;
  return Result;
}

budget::Transfer sampleTransfer() {
  budget::Transfer Result;
  Result.Budget_ = "rate/parish";
  Result.Epoch_ = 4;
  Result.Donor_ = base::HostId("one#17");
  Result.Receiver_ = base::HostId("two#18");
  Result.Sequence_ = 12;
  Result.Amount_ = {budget::TotalParts / 7, budget::TotalParts / 9};
  Result.Tokens_ = 123456789;
  return Result;
}

} // namespace

TEST_GROUP(ExchangeCodec){};

TEST(ExchangeCodec, reportSurvivesARoundTrip) {
  const HostReport Sent = sampleReport();
  const HostReport Decoded =
      ExchangeCodec::decodeReport(ExchangeCodec::encode(Sent))
          .value_or(HostReport());
  CHECK(Decoded.LoadUpdate_.Host_ == Sent.LoadUpdate_.Host_);
  CHECK(Decoded.LoadUpdate_.Loads_ == Sent.LoadUpdate_.Loads_);
  CHECK(Decoded.LoadUpdate_.SpareSlots_ == Sent.LoadUpdate_.SpareSlots_);
  LONGS_EQUAL(1, Decoded.Offers_.size());
  CHECK(Decoded.Offers_[0].Rate_ == Sent.Offers_[0].Rate_);
  CHECK(Decoded.Offers_[0].Tokens_ == Sent.Offers_[0].Tokens_);
  CHECK(Decoded.Evidence_ == Sent.Evidence_);
  CHECK(Decoded.EnteredEpoch_ == Sent.EnteredEpoch_);
}

TEST(ExchangeCodec, transferSurvivesARoundTrip) {
  const budget::Transfer Sent = sampleTransfer();
  const budget::Transfer Decoded =
      ExchangeCodec::decodeTransfer(ExchangeCodec::encode(Sent))
          .value_or(budget::Transfer());
  STRCMP_EQUAL(ExchangeCodec::encode(Sent).c_str(),
               ExchangeCodec::encode(Decoded).c_str());
  CHECK(Decoded.Amount_ == Sent.Amount_);
  CHECK(Decoded.Sequence_ == Sent.Sequence_);
}

// A fault or another release sends a transfer with a negative amount or without
// an epoch. Accepting it would create budget out of nothing.
TEST(ExchangeCodec, incompleteOrNegativeTransferIsRejected) {
  const std::string Encoded = ExchangeCodec::encode(sampleTransfer());
  for (const char *Name : {"\"b\"", "\"e\"", "\"d\"", "\"g\"", "\"q\"", "\"r\"",
                           "\"c\"", "\"t\""}) {
    std::string Broken = Encoded;
    Broken.replace(Broken.find(Name), 3, "\"zz\"");
    CHECK_FALSE_TEXT(ExchangeCodec::decodeTransfer(Broken).has_value(), Name);
  }
  CHECK_FALSE(ExchangeCodec::decodeTransfer(
                  R"({"b":"x","e":1,"d":"a","g":"b","q":1,"r":-5,"c":0,"t":0})")
                  .has_value());
  CHECK_FALSE(ExchangeCodec::decodeTransfer("{}").has_value());
  CHECK_FALSE(ExchangeCodec::decodeTransfer("").has_value());
}

TEST(ExchangeCodec, mutatedTextNeitherCrashesNorDecodesAsAnotherMessage) {
  const std::string Report = ExchangeCodec::encode(sampleReport());
  for (std::uint64_t Seed = 1; Seed <= 3000; ++Seed) {
    base::Random Random(Seed);
    std::string Mutated = Report;
    const std::uint32_t Length = static_cast<std::uint32_t>(Mutated.size());
    Mutated[base::drawBelow(Random, Length)] =
        static_cast<char>(base::drawBelow(Random, 256));
    Mutated.resize(base::drawBelow(Random, Length + 1));
    const auto Read = ExchangeCodec::decodeReport(Mutated);
    // A truncated object never closes.
    CHECK(!Read || Mutated.size() == Report.size());
    CHECK_FALSE(ExchangeCodec::decodeTransfer(Mutated).has_value());
  }
}
