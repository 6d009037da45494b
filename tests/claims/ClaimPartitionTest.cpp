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
const base::HostId Asker("asker#1");

ClaimKey key(int Number) {
  return ClaimKey::of(base::CustomerId("parish"), std::to_string(Number));
}

} // namespace

TEST_GROUP(ClaimPartition) {
  boost::asio::io_context Context_;
  FakeStore Store_;
  std::map<ClaimKey, std::vector<ClaimResult>> Told_;

  std::unique_ptr<ClaimPartition> makeOwner(std::uint64_t Start) {
    auto Made = std::make_unique<ClaimPartition>(
        Context_.get_executor(), Store_, 0, Start,
        [this](const base::HostId &, const ClaimResult &Verdict) {
          Told_[Verdict.Key_].push_back(Verdict);
        });
    Made->own(1);
    settle();
    return Made;
  }

  /// Until nothing is left to load, write or read back.
  void settle() {
    Context_.restart();
    Context_.run();
  }

  ClaimOutcome ask(ClaimPartition & Owner, int Number) {
    const ClaimResult Verdict = Owner.claim(key(Number), Fingerprint, Asker);
    if (Verdict.Outcome_ != ClaimOutcome::Pending)
      return Verdict.Outcome_;
    settle();
    LONGS_EQUAL(1, Told_[key(Number)].size());
    return Told_[key(Number)].front().Outcome_;
  }

  bool stands(int Number) {
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

TEST(ClaimPartition, aClaimIsGrantedOnceItStandsInTheStore) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  CHECK(stands(1));
  CHECK(ClaimOutcome::MayHaveRun == ask(*Owner, 1));
}

TEST(ClaimPartition, aBurstOfClaimsSharesItsWrites) {
  const auto Owner = makeOwner(1);
  for (int Number = 0; Number < 200; ++Number)
    Owner->claim(key(Number), Fingerprint, Asker);
  settle();
  LONGS_EQUAL(200, Told_.size());
  CHECK(Owner->writes() <= 2);
}

// The store is down. A booking claimed without a record could run here and,
// after a resend, at another host. It is refused, truthfully not run, and the
// same key is granted when the store is back.
TEST(ClaimPartition, withoutTheStoreNothingIsGranted) {
  const auto Owner = makeOwner(1);
  Store_.Down_ = true;
  CHECK(ClaimOutcome::StoreUnavailable == ask(*Owner, 1));
  CHECK_FALSE(stands(1));
  Store_.Down_ = false;
  Told_.clear();
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
}

// The store takes the write and its answer is lost. The claim may stand or not:
// refused as "not run" it would be a lie to the next resend, granted at once it
// could be someone else's. It is read back, found, and granted once.
TEST(ClaimPartition, aLostAnswerIsReadBack) {
  const auto Owner = makeOwner(1);
  Store_.LoseAnswerOf_ = "claims/0";
  Store_.LostAnswers_ = 1;
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  CHECK(stands(1));
}

TEST(ClaimPartition, aLostRequestIsWrittenAgain) {
  const auto Owner = makeOwner(1);
  Store_.LoseRequestTo_ = "claims/0";
  Store_.LostRequests_ = 1;
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  CHECK(stands(1));
}

// An owner is paused; its partition goes to another host, which grants a key.
// Awake again, the first one still believes that it owns the partition, and
// the caller's resend reaches it. Its write names a version that is no longer
// there, so the store refuses it and nothing is granted twice.
TEST(ClaimPartition, aPausedOwnerIsFencedByTheObjectsVersion) {
  const auto Paused = makeOwner(1);
  CHECK(ClaimOutcome::Granted == ask(*Paused, 1));
  const auto Next = makeOwner(2);
  CHECK(ClaimOutcome::MayHaveRun == ask(*Next, 1));
  CHECK(ClaimOutcome::Granted == ask(*Next, 2));
  Told_.clear();
  CHECK(ClaimOutcome::NotOwner == ask(*Paused, 2));
  // Read anew, it knows the other's grant.
  CHECK(ClaimOutcome::MayHaveRun == ask(*Paused, 2));
}

TEST(ClaimPartition, aGrantProvenNotToHaveRunIsGivenAgain) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  Owner->finish(key(1), Told_[key(1)].front().Grant_, retrying::Ran::No, 0);
  settle();
  Told_.clear();
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
}

// The holder's word that its grant did not run is late: the grant after it has
// been given, and runs. Freed by the old word, it would run a second time.
TEST(ClaimPartition, aLateWordOnAnOldGrantFreesNothing) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  const std::uint64_t Old = Told_[key(1)].front().Grant_;
  Owner->finish(key(1), Old, retrying::Ran::No, 0);
  settle();
  Told_.clear();
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  Owner->finish(key(1), Old, retrying::Ran::No, 0);
  settle();
  CHECK(ClaimOutcome::MayHaveRun == ask(*Owner, 1));
}

TEST(ClaimPartition, anOutcomeIsRecorded) {
  const auto Owner = makeOwner(1);
  CHECK(ClaimOutcome::Granted == ask(*Owner, 1));
  Owner->finish(key(1), Told_[key(1)].front().Grant_, retrying::Ran::Yes, 201);
  const ClaimResult Again = Owner->claim(key(1), Fingerprint, Asker);
  CHECK(ClaimOutcome::AlreadyRun == Again.Outcome_);
  LONGS_EQUAL(201, Again.Status_);
  CHECK(ClaimOutcome::KeyReused ==
        Owner->claim(key(1), Fingerprint + 1, Asker).Outcome_);
}
