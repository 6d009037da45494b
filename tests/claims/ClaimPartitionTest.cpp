#include "claims/ClaimPartition.h"

#include "claims/ClaimCodec.h"
#include "operations/FakeStore.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace retrying = lychee::retrying;
using lychee::claims::ClaimCodec;
using lychee::claims::ClaimPartition;
using lychee::tests::FakeStore;
using retrying::ClaimKey;
using retrying::ClaimOutcome;
using retrying::ClaimResult;

namespace {

constexpr std::uint64_t Fingerprint = 77;
const base::HostId Requester("asker#1");

ClaimKey key(int Number) {
  return ClaimKey::of(base::CustomerId("parish"), std::to_string(Number));
}

} // namespace

TEST_GROUP(ClaimPartition) {
  boost::asio::io_context Context_;
  FakeStore Store_;
  std::map<ClaimKey, std::vector<ClaimResult>> Results_;

  std::unique_ptr<ClaimPartition> makeOwner(std::uint64_t Incarnation) {
    auto Owner = std::make_unique<ClaimPartition>(
        Context_.get_executor(), Store_, 0, Incarnation,
        [this](const base::HostId &, const ClaimResult &Result) {
          Results_[Result.Key_].push_back(Result);
        });
    Owner->acquire(1);
    runUntilIdle();
    return Owner;
  }

  /// Runs until there is nothing left to load, write or read back.
  void runUntilIdle() {
    Context_.restart();
    Context_.run();
  }

  ClaimOutcome claim(ClaimPartition & Owner, int Number) {
    const ClaimResult Result = Owner.claim(key(Number), Fingerprint, Requester);
    if (Result.Outcome_ != ClaimOutcome::Pending)
      return Result.Outcome_;
    runUntilIdle();
    LONGS_EQUAL(1, Results_[key(Number)].size());
    return Results_[key(Number)].front().Outcome_;
  }

  bool isStored(int Number) {
    const auto Found = Store_.Objects_.find("claims/0");
    if (Found == Store_.Objects_.end())
      return false;
    const auto Object =
        ClaimCodec::decodeObject(Found->second.Value_, Found->second.Version_)
            .value_or(retrying::ClaimObject());
    for (const retrying::ClaimRecord &Each : Object.Records_)
      if (Each.Key_ == key(Number))
        return true;
    return false;
  }
};

TEST(ClaimPartition, aClaimIsGrantedOnceItIsStored) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  CHECK(isStored(1));
  CHECK(ClaimOutcome::MayHaveRun == claim(*Owner, 1));
}

TEST(ClaimPartition, aBurstOfClaimsSharesWrites) {
  const auto Owner = makeOwner(1);
  for (int Number = 0; Number < 200; ++Number)
    Owner->claim(key(Number), Fingerprint, Requester);
  runUntilIdle();
  LONGS_EQUAL(200, Results_.size());
  CHECK(Owner->writes() <= 2);
}

// The store is unavailable. A booking granted without a stored claim could run
// here and, after a retry, at another host. It must be refused as not run, and
// the same key granted when the store is available again.
TEST(ClaimPartition, nothingIsGrantedWithoutTheStore) {
  const auto Owner = makeOwner(1);
  Store_.Down_ = true;
  CHECK(ClaimOutcome::StoreUnavailable == claim(*Owner, 1));
  CHECK_FALSE(isStored(1));
  Store_.Down_ = false;
  Results_.clear();
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
}

// The response to a write is lost, so that it is unknown whether the claim is
// stored. Refusing it as "not run" could be false, and granting it at once
// could grant another owner's claim. It must be read back and granted once.
TEST(ClaimPartition, aWriteWithALostResponseIsReadBack) {
  const auto Owner = makeOwner(1);
  Store_.LoseAnswerOf_ = "claims/0";
  Store_.LostAnswers_ = 1;
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  CHECK(isStored(1));
}

TEST(ClaimPartition, aLostRequestIsWrittenAgain) {
  const auto Owner = makeOwner(1);
  Store_.LoseRequestTo_ = "claims/0";
  Store_.LostRequests_ = 1;
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  CHECK(isStored(1));
}

// An owner is paused, and its partition goes to another host, which grants a
// key. The first owner resumes without noticing and receives the caller's
// retry. Its write expects an outdated version, so that the store refuses it
// and nothing is granted twice.
TEST(ClaimPartition, aPausedOwnerIsFencedByTheObjectsVersion) {
  const auto Paused = makeOwner(1);
  CHECK(ClaimOutcome::Granted == claim(*Paused, 1));
  const auto Next = makeOwner(2);
  CHECK(ClaimOutcome::MayHaveRun == claim(*Next, 1));
  CHECK(ClaimOutcome::Granted == claim(*Next, 2));
  Results_.clear();
  CHECK(ClaimOutcome::NotOwner == claim(*Paused, 2));
  // After reading the object again it knows the other owner's grant.
  CHECK(ClaimOutcome::MayHaveRun == claim(*Paused, 2));
}

TEST(ClaimPartition, aClaimProvenNotToHaveRunIsGrantedAgain) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  Owner->finish(key(1), Results_[key(1)].front().Grant_, retrying::Ran::No, 0);
  runUntilIdle();
  Results_.clear();
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
}

// A report that a grant did not run arrives after the next grant was issued and
// its request runs. If the report released that grant, the request would run a
// second time.
TEST(ClaimPartition, aLateReportOnAnOldGrantReleasesNothing) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  const std::uint64_t Old = Results_[key(1)].front().Grant_;
  Owner->finish(key(1), Old, retrying::Ran::No, 0);
  runUntilIdle();
  Results_.clear();
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  Owner->finish(key(1), Old, retrying::Ran::No, 0);
  runUntilIdle();
  CHECK(ClaimOutcome::MayHaveRun == claim(*Owner, 1));
}

TEST(ClaimPartition, anOutcomeIsRecorded) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == claim(*Owner, 1));
  Owner->finish(key(1), Results_[key(1)].front().Grant_, retrying::Ran::Yes,
                201);
  const ClaimResult Again = Owner->claim(key(1), Fingerprint, Requester);
  CHECK(ClaimOutcome::AlreadyRun == Again.Outcome_);
  LONGS_EQUAL(201, Again.Status_);
  CHECK(ClaimOutcome::KeyReused ==
        Owner->claim(key(1), Fingerprint + 1, Requester).Outcome_);
}
