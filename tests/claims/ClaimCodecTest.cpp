#include "claims/ClaimCodec.h"

#include "base/Random.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace retrying = lychee::retrying;
using lychee::claims::ClaimCodec;

namespace {

retrying::ClaimObject sampleObject() {
  retrying::ClaimObject Made;
  Made.Version_ = 3;
  Made.Epoch_ = 9;
  Made.Writer_ = 1700000000000;
  for (std::uint64_t Index = 1; Index <= 3; ++Index) {
    retrying::ClaimRecord Record;
    Record.Key_ = {~Index, Index};
    Record.Fingerprint_ = Index << 60;
    Record.Grant_ = Index;
    Record.State_ = retrying::ClaimState::Done;
    Record.Status_ = 201;
    Record.At_ = base::WallPoint(std::chrono::seconds(1700000000));
    Made.Records_.push_back(Record);
  }
  return Made;
}

} // namespace

TEST_GROUP(ClaimCodec){};

TEST(ClaimCodec, anObjectComesBackAsItWas) {
  const retrying::ClaimObject Sent = sampleObject();
  const auto Got = ClaimCodec::decodeObject(ClaimCodec::encode(Sent), 3)
                       .value_or(retrying::ClaimObject());
  CHECK(Got.Records_ == Sent.Records_);
  CHECK(Got.Epoch_ == Sent.Epoch_);
  CHECK(Got.Writer_ == Sent.Writer_);
}

TEST(ClaimCodec, anObjectThatDoesNotExistYetIsEmpty) {
  const auto Got = ClaimCodec::decodeObject("", 0);
  CHECK(Got.has_value());
  CHECK(Got.value_or(sampleObject()).Records_.empty());
}

// The store gives back a damaged object. Taken for one with fewer claims, the
// missing ones would be granted again and run twice.
TEST(ClaimCodec, aDamagedObjectIsNeverTakenForAShorterOne) {
  const std::string Whole = ClaimCodec::encode(sampleObject());
  for (std::uint64_t Seed = 1; Seed <= 5000; ++Seed) {
    base::Random Random(Seed);
    std::string Damaged = Whole;
    const auto Length = static_cast<std::uint32_t>(Damaged.size());
    Damaged.resize(base::drawBelow(Random, Length));
    CHECK_FALSE(ClaimCodec::decodeObject(Damaged, 3).has_value());
  }
}

TEST(ClaimCodec, eightThousandClaimsFitIntoAValueOfTheStore) {
  retrying::ClaimObject Full = sampleObject();
  Full.Records_.resize(8000, Full.Records_.front());
  CHECK(ClaimCodec::encode(Full).size() < 1'000'000);
}
