#include "TestFleet.h"
#include "fleet/ClaimCodec.h"

#include <atomic>
#include <future>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
namespace retrying = lychee::retrying;
namespace standins = lychee::standins;
using lychee::tests::TestFleet;
using lychee::tests::TestHost;
using retrying::ClaimAnswer;
using retrying::ClaimVerdict;

TEST_GROUP(ClaimNode) {
  TestFleet Fleet_;
  standins::StoreFaults Faults_;

  void start() {
    Fleet_.add("h1", "z1");
    Fleet_.add("h2", "z2");
    Fleet_.add("h3", "z3");
    CHECK(Fleet_.settle(3));
  }

  static retrying::ClaimKey key(int Number) {
    return retrying::ClaimKey::of(base::CustomerId("c"),
                                  "key-" + std::to_string(Number));
  }

  static ClaimVerdict claim(TestHost & By, int Number) {
    std::promise<ClaimVerdict> Told;
    By.Claims_->claim(key(Number), 7, [&Told](const ClaimVerdict &Verdict) {
      Told.set_value(Verdict);
    });
    return Told.get_future().get();
  }

  void setDown(bool Down) {
    Faults_.Down_ = Down;
    Fleet_.store().setFaults(Faults_);
  }
};

// A caller's answer is late, and it sends its booking again through every other
// host. Whichever host it asks, one of them is let run it, no other.
TEST(ClaimNode, oneOfThreeHostsIsLetRunEachKey) {
  start();
  for (int Number = 0; Number < 20; ++Number) {
    int Granted = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      const ClaimVerdict Verdict = claim(Fleet_.host(Index), Number);
      Granted += Verdict.Answer_ == ClaimAnswer::Granted ? 1 : 0;
      CHECK(Verdict.Answer_ == ClaimAnswer::Granted ||
            Verdict.Answer_ == ClaimAnswer::MayHaveRun);
    }
    LONGS_EQUAL(1, Granted);
  }
}

TEST(ClaimNode, recordedOutcomeIsToldOnARepeat) {
  start();
  const ClaimVerdict First = claim(Fleet_.host(0), 1);
  CHECK(First.Answer_ == ClaimAnswer::Granted);
  Fleet_.host(0).Claims_->finish(key(1), First.Grant_, retrying::Ran::Yes, 201);
  CHECK(lychee::tests::waitFor([&] {
    const ClaimVerdict Again = claim(Fleet_.host(1), 1);
    return Again.Answer_ == ClaimAnswer::AlreadyRun && Again.Status_ == 201;
  }));
}

// The store is down: no claim can be recorded, so nothing may run, and the
// caller is told so truthfully. Once it is back the same key is let run.
TEST(ClaimNode, nothingRunsWhileTheStoreIsDown) {
  start();
  CHECK(claim(Fleet_.host(0), 1).Answer_ == ClaimAnswer::Granted);
  setDown(true);
  for (int Number = 2; Number < 5; ++Number)
    CHECK(claim(Fleet_.host(0), Number).Answer_ == ClaimAnswer::StoreDown);
  setDown(false);
  CHECK(lychee::tests::waitFor([&] {
    return claim(Fleet_.host(0), 9).Answer_ == ClaimAnswer::Granted;
  }));
}

// The write of a claim takes effect and its answer is lost. The owner reads it
// back; the claim is granted once, and its repeat is not.
TEST(ClaimNode, lostAnswerOfTheStoreGrantsOnce) {
  start();
  claim(Fleet_.host(0), 1);
  Faults_.LoseAnswers_ = 1;
  Fleet_.store().setFaults(Faults_);
  int Granted = 0;
  for (std::size_t Index = 0; Index < 3; ++Index)
    Granted += claim(Fleet_.host(Index), 2).Answer_ == ClaimAnswer::Granted;
  LONGS_EQUAL(1, Granted);
}

// The host that owns a key's partition is killed after it let another host run
// the request. Its successor reads the partition: the repeat may have run.
TEST(ClaimNode, claimOutlivesItsOwner) {
  start();
  std::vector<int> Granted;
  for (int Number = 0; Number < 12; ++Number)
    if (claim(Fleet_.host(0), Number).Answer_ == ClaimAnswer::Granted)
      Granted.push_back(Number);
  UNSIGNED_LONGS_EQUAL(12, Granted.size());
  Fleet_.io().run(Fleet_.host(2).Node_->leave());
  Fleet_.host(2).kill();
  CHECK(Fleet_.settle(2));
  for (const int Number : Granted)
    CHECK(lychee::tests::waitFor([&] {
      const ClaimAnswer Answer = claim(Fleet_.host(1), Number).Answer_;
      CHECK(Answer != ClaimAnswer::Granted);
      return Answer == ClaimAnswer::MayHaveRun;
    }));
}

// Many callers claim at once: they share the store's writes.
TEST(ClaimNode, claimsThatComeTogetherShareAWrite) {
  start();
  constexpr int Count = 400;
  Faults_.SlowMilliseconds_ = 20;
  Fleet_.store().setFaults(Faults_);
  std::atomic<int> Granted = 0;
  std::atomic<int> Told = 0;
  const std::uint64_t Before = Fleet_.store().counts()["put"];
  for (int Number = 0; Number < Count; ++Number)
    Fleet_.host(0).Claims_->claim(
        key(1000 + Number), 7, [&](const ClaimVerdict &Verdict) {
          Granted += Verdict.Answer_ == ClaimAnswer::Granted ? 1 : 0;
          ++Told;
        });
  CHECK(lychee::tests::waitFor([&] { return Told == Count; }));
  LONGS_EQUAL(Count, Granted);
  const std::uint64_t Writes = Fleet_.store().counts()["put"] - Before;
  CHECK(Writes < Count / 2);
}

TEST_GROUP(ClaimCodec){};

TEST(ClaimCodec, claimsComeBackAsTheyWereAndDamageGivesNothing) {
  retrying::ClaimObject Object;
  Object.Epoch_ = 3;
  Object.Writer_ = ~std::uint64_t(0);
  retrying::ClaimRecord Record;
  Record.Key_ = {~std::uint64_t(0), 1};
  Record.State_ = retrying::ClaimState::Done;
  Record.Status_ = 201;
  Object.Records_.push_back(Record);
  const std::string Text = fleet::ClaimCodec::encode(Object);
  const auto Read = fleet::ClaimCodec::decode(Text, 9);
  CHECK(Read && Read->Records_ == Object.Records_ && Read->Version_ == 9 &&
        Read->Writer_ == Object.Writer_ && Read->Epoch_ == 3);
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    CHECK_FALSE(fleet::ClaimCodec::decode(Text.substr(0, Length), 9));
}
