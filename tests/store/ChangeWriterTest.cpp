#include "store/ChangeWriter.h"
#include "base/SystemClock.h"
#include "store/GuardedStore.h"
#include "store/HttpStore.h"
#include "store/StandinStore.h"
#include "support/IoThreads.h"
#include "support/Require.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace store = lychee::store;
namespace standins = lychee::standins;
using lychee::tests::IoThreads;
using lychee::tests::require;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ChangeWriter) {
  IoThreads Io_;
  standins::StandinStore Standin_{Io_.executor(), {}};
  standins::StoreFaults Faults_;
  base::Error Last_;
  std::unique_ptr<store::HttpStore> Store_;

  void setup() override {
    CHECK(Standin_.listen(Last_));
    Store_ = std::make_unique<store::HttpStore>(
        Io_.executor(), store::HttpStoreOptions{"127.0.0.1", Standin_.port(),
                                                "h1", milliseconds(5000)});
  }

  void teardown() override { Io_.stop(); }

  store::PutResult write(const char *Value, std::uint64_t Expected,
                         base::Duration Patience = seconds(10)) {
    store::ChangeWriter Writer(*Store_, 1);
    const std::string Wanted = Value;
    const store::Change Change{
        "a", Wanted, Expected,
        [Wanted](std::string_view Held) { return Held.starts_with(Wanted); }};
    return Io_.run(Writer.write(
        Change, base::SystemClock::monotonicNow() + Patience, Last_));
  }
};

// The write takes effect and its answer is lost. The operator must hear that it
// is written: not a conflict with the own write, not a failure to be repeated.
TEST(ChangeWriter, lostAnswersAreResolvedByReadingBack) {
  Faults_.LoseAnswers_ = 1;
  Standin_.setFaults(Faults_);
  const store::PutResult Result = write("mine", 0);
  CHECK(Result.Status_ == store::PutStatus::Written);
  UNSIGNED_LONGLONGS_EQUAL(1, Result.Version_);
  UNSIGNED_LONGLONGS_EQUAL(1, Standin_.counts()["put"]);
}

TEST(ChangeWriter, anothersChangeIsAConflict) {
  CHECK(write("theirs", 0).Status_ == store::PutStatus::Written);
  CHECK(write("mine", 0).Status_ == store::PutStatus::Conflict);
  STRCMP_EQUAL("theirs",
               require(Io_.run(Store_->get("a", Last_))).Value_.c_str());
}

// The store refuses connections for a while, so nothing is written; then it is
// back. The change must be written by a later try, exactly once.
TEST(ChangeWriter, storeThatComesBackTakesTheChangeOnce) {
  Faults_.Down_ = true;
  Standin_.setFaults(Faults_);
  auto Writing =
      std::async(std::launch::async, [this] { return write("mine", 0); });
  CHECK(
      lychee::tests::waitFor([&] { return Standin_.counts()["refused"] > 1; }));
  Standin_.setFaults({});
  CHECK(Writing.get().Status_ == store::PutStatus::Written);
  UNSIGNED_LONGLONGS_EQUAL(1,
                           require(Io_.run(Store_->get("a", Last_))).Version_);
}

TEST(ChangeWriter, downStoreAtTheDeadlineLeavesTheChangeUnknown) {
  Faults_.Down_ = true;
  Standin_.setFaults(Faults_);
  CHECK(write("mine", 0, milliseconds(0)).Status_ == store::PutStatus::Unknown);
}

TEST(ChangeWriter, unreachableStoreAtTheDeadlineHasCertainlyNothing) {
  Store_ = std::make_unique<store::HttpStore>(
      Io_.executor(),
      store::HttpStoreOptions{"127.0.0.1", 1, "h1", milliseconds(5000)});
  CHECK(write("mine", 0, milliseconds(0)).Status_ == store::PutStatus::Failed);
}

TEST(ChangeWriter, callsOverTheBudgetAreNotMade) {
  store::GuardedStore Guarded(*Store_, 1);
  CHECK(Io_.run(Guarded.get("a", Last_)).has_value());
  CHECK(Guarded.lastAnswer().has_value());
  // No more than the budget's single call may be made at once.
  for (int Try = 0; Try < 3; ++Try)
    Io_.run(Guarded.put("a", "x", 0, Last_));
  const store::CallCounts Counts = Guarded.counts();
  UNSIGNED_LONGLONGS_EQUAL(Standin_.counts()["put"], Counts.Puts_);
  UNSIGNED_LONGLONGS_EQUAL(3, Counts.Puts_ + Counts.OverBudget_);
}
