#include "exchange/ExchangeCodec.h"

#include "base/Random.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace budget = lychee::budget;
using lychee::exchange::ExchangeCodec;
using lychee::exchange::HostReport;

namespace {

HostReport sampleReport() {
  HostReport Made;
  Made.Round_.Host_ = base::HostId("one#17");
  Made.Round_.Loads_ = {{base::ServiceId("rota"), base::TargetId("rota-1"), 3}};
  Made.Round_.SpareSlots_ = {
      {base::ServiceId("rota"), base::RegionId("near"), 2}};
  Made.Offers_ = {{"rate/parish", budget::TotalParts / 3, 5'000'000'000}};
  lychee::retrying::CrashEvidence Evidence;
  Evidence.Fingerprint_ = ~std::uint64_t(0);
  Evidence.Target_ = 7;
  Evidence.Age_ = std::chrono::milliseconds(1500);
  Made.Evidence_ = {Evidence};
  Made.Entered_ = 9;
  return Made;
}

budget::Transfer sampleTransfer() {
  budget::Transfer Made;
  Made.Budget_ = "rate/parish";
  Made.Epoch_ = 4;
  Made.Donor_ = base::HostId("one#17");
  Made.Receiver_ = base::HostId("two#18");
  Made.Sequence_ = 12;
  Made.Amount_ = {budget::TotalParts / 7, budget::TotalParts / 9};
  Made.Tokens_ = 123456789;
  return Made;
}

} // namespace

TEST_GROUP(ExchangeCodec){};

TEST(ExchangeCodec, aReportComesBackAsItWas) {
  const HostReport Sent = sampleReport();
  const HostReport Got =
      ExchangeCodec::decodeReport(ExchangeCodec::encode(Sent))
          .value_or(HostReport());
  CHECK(Got.Round_.Host_ == Sent.Round_.Host_);
  CHECK(Got.Round_.Loads_ == Sent.Round_.Loads_);
  CHECK(Got.Round_.SpareSlots_ == Sent.Round_.SpareSlots_);
  LONGS_EQUAL(1, Got.Offers_.size());
  CHECK(Got.Offers_[0].Rate_ == Sent.Offers_[0].Rate_);
  CHECK(Got.Offers_[0].Tokens_ == Sent.Offers_[0].Tokens_);
  CHECK(Got.Evidence_ == Sent.Evidence_);
  CHECK(Got.Entered_ == Sent.Entered_);
}

TEST(ExchangeCodec, aTransferComesBackAsItWas) {
  const budget::Transfer Sent = sampleTransfer();
  const budget::Transfer Got =
      ExchangeCodec::decodeTransfer(ExchangeCodec::encode(Sent))
          .value_or(budget::Transfer());
  STRCMP_EQUAL(ExchangeCodec::encode(Sent).c_str(),
               ExchangeCodec::encode(Got).c_str());
  CHECK(Got.Amount_ == Sent.Amount_);
  CHECK(Got.Sequence_ == Sent.Sequence_);
}

// A fault, or another release, sends a transfer with a negative amount or a
// missing epoch. Taken as it is, it would create budget out of nothing.
TEST(ExchangeCodec, aTransferThatIsNotWholeGivesNothing) {
  const std::string Whole = ExchangeCodec::encode(sampleTransfer());
  for (const char *Name : {"\"b\"", "\"e\"", "\"d\"", "\"g\"", "\"q\"", "\"r\"",
                           "\"c\"", "\"t\""}) {
    std::string Broken = Whole;
    Broken.replace(Broken.find(Name), 3, "\"zz\"");
    CHECK_FALSE_TEXT(ExchangeCodec::decodeTransfer(Broken).has_value(), Name);
  }
  CHECK_FALSE(ExchangeCodec::decodeTransfer(
                  R"({"b":"x","e":1,"d":"a","g":"b","q":1,"r":-5,"c":0,"t":0})")
                  .has_value());
  CHECK_FALSE(ExchangeCodec::decodeTransfer("{}").has_value());
  CHECK_FALSE(ExchangeCodec::decodeTransfer("").has_value());
}

TEST(ExchangeCodec, noMutatedTextIsTakenForAnotherMessageOrCrashes) {
  const std::string Report = ExchangeCodec::encode(sampleReport());
  for (std::uint64_t Seed = 1; Seed <= 3000; ++Seed) {
    base::Random Random(Seed);
    std::string Mutated = Report;
    const std::uint32_t Length = static_cast<std::uint32_t>(Mutated.size());
    Mutated[base::drawBelow(Random, Length)] =
        static_cast<char>(base::drawBelow(Random, 256));
    Mutated.resize(base::drawBelow(Random, Length + 1));
    const auto Read = ExchangeCodec::decodeReport(Mutated);
    // Cut short anywhere, the object never closes.
    CHECK(!Read || Mutated.size() == Report.size());
    CHECK_FALSE(ExchangeCodec::decodeTransfer(Mutated).has_value());
  }
}
