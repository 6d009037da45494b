#include "claims/ClaimCodec.h"

#include "base/Random.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace retrying = lychee::retrying;
using lychee::claims::ClaimCodec;

namespace {

retrying::ClaimObject sampleObject() {
  retrying::ClaimObject Object;
  Object.Version_ = 3;
  Object.Epoch_ = 9;
  Object.Writer_ = 1700000000000;
  for (std::uint64_t Index = 1; Index <= 3; ++Index) {
    retrying::ClaimRecord Record;
    Record.Key_ = {~Index, Index};
    Record.Fingerprint_ = Index << 60;
    Record.Grant_ = Index;
    Record.State_ = retrying::ClaimState::Done;
    Record.Status_ = 201;
    Record.At_ = base::WallPoint(std::chrono::seconds(1700000000));
    Object.Records_.push_back(Record);
  }
  return Object;
}

} // namespace

TEST_GROUP(ClaimCodec){};

TEST(ClaimCodec, aDecodedObjectEqualsTheEncodedOne) {
  const retrying::ClaimObject Sent = sampleObject();
  const auto Got = ClaimCodec::decodeObject(ClaimCodec::encode(Sent), 3)
                       .value_or(retrying::ClaimObject());
  CHECK(Got.Records_ == Sent.Records_);
  CHECK(Got.Epoch_ == Sent.Epoch_);
  CHECK(Got.Writer_ == Sent.Writer_);
}

TEST(ClaimCodec, anObjectThatDoesNotExistIsEmpty) {
  const auto Got = ClaimCodec::decodeObject("", 0);
  CHECK(Got.has_value());
  CHECK(Got.value_or(sampleObject()).Records_.empty());
}

// The store returns a truncated object. If it were decoded as one with fewer
// claims, the missing ones would be granted again and run twice.
TEST(ClaimCodec, aTruncatedObjectIsNeverDecodedAsAShorterOne) {
  const std::string Complete = ClaimCodec::encode(sampleObject());
  for (std::uint64_t Seed = 1; Seed <= 5000; ++Seed) {
    base::Random Random(Seed);
    std::string Truncated = Complete;
    const auto Length = static_cast<std::uint32_t>(Truncated.size());
    Truncated.resize(base::drawBelow(Random, Length));
    CHECK_FALSE(ClaimCodec::decodeObject(Truncated, 3).has_value());
  }
}

TEST(ClaimCodec, eightThousandClaimsFitIntoOneStoreValue) {
  retrying::ClaimObject Full = sampleObject();
  Full.Records_.resize(8000, Full.Records_.front());
  CHECK(ClaimCodec::encode(Full).size() < 1'000'000);
}
