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

TEST_GROUP(HttpStore) {
  IoThreads Io_;
  standins::StandinStore Standin_{Io_.executor(), {}};
  standins::StoreFaults Faults_;
  base::Error Last_;
  std::unique_ptr<store::HttpStore> Store_;

  void setup() override {
    CHECK(Standin_.listen(Last_));
    Store_ = makeStore("h1", milliseconds(5000));
  }

  void teardown() override { Io_.stop(); }

  std::unique_ptr<store::HttpStore> makeStore(const char *Host,
                                              base::Duration Timeout) {
    return std::make_unique<store::HttpStore>(
        Io_.executor(),
        store::HttpStoreOptions{"127.0.0.1", Standin_.port(), Host, Timeout});
  }

  store::PutResult put(const char *Path, std::string_view Value,
                       std::uint64_t Expected) {
    return Io_.run(Store_->put(Path, Value, Expected, Last_));
  }
};

TEST(HttpStore, writesReadsAndListsWithVersions) {
  CHECK(put("a/x", "one", 0).Status_ == store::PutStatus::Written);
  CHECK(put("a/y", "two", 0).Status_ == store::PutStatus::Written);
  CHECK(put("b", "other", 0).Status_ == store::PutStatus::Written);
  const store::PutResult Second = put("a/x", "three", 1);
  CHECK(Second.Status_ == store::PutStatus::Written);
  UNSIGNED_LONGLONGS_EQUAL(2, Second.Version_);
  const auto Read = require(Io_.run(Store_->get("a/x", Last_)));
  STRCMP_EQUAL("three", Read.Value_.c_str());
  UNSIGNED_LONGLONGS_EQUAL(2, Read.Version_);
  const auto Listed = require(Io_.run(Store_->list("a/", Last_)));
  UNSIGNED_LONGS_EQUAL(2, Listed.size());
  STRCMP_EQUAL("a/y", Listed.at(1).Path_.c_str());
}

TEST(HttpStore, absentPathHasVersionZero) {
  const auto Read = require(Io_.run(Store_->get("none", Last_)));
  UNSIGNED_LONGLONGS_EQUAL(0, Read.Version_);
}

TEST(HttpStore, writeOverAnotherVersionIsAConflictAndWritesNothing) {
  put("a", "one", 0);
  const store::PutResult Late = put("a", "two", 0);
  CHECK(Late.Status_ == store::PutStatus::Conflict);
  UNSIGNED_LONGLONGS_EQUAL(1, Late.Version_);
  STRCMP_EQUAL("one", require(Io_.run(Store_->get("a", Last_))).Value_.c_str());
}

TEST(HttpStore, valueOverOneMegabyteIsRefusedForCertain) {
  const std::string Large((1 << 20) + 1, 'x');
  CHECK(put("a", Large, 0).Status_ == store::PutStatus::Failed);
  const std::string Fits(1 << 20, 'x');
  CHECK(put("a", Fits, 0).Status_ == store::PutStatus::Written);
}

// The caller's write takes effect, then its answer is lost: the connection
// ends without one. The write must be told as unknown, neither as failed (a
// second write would double it) nor as written (it might not be).
TEST(HttpStore, lostAnswerLeavesTheWriteUnknown) {
  Faults_.LoseAnswers_ = 1;
  Standin_.setFaults(Faults_);
  CHECK(put("a", "one", 0).Status_ == store::PutStatus::Unknown);
  STRCMP_EQUAL("store.put", Last_.Step_.c_str());
  STRCMP_EQUAL("one", require(Io_.run(Store_->get("a", Last_))).Value_.c_str());
}

TEST(HttpStore, callToASlowStoreEndsAtItsDeadline) {
  Store_ = makeStore("h1", milliseconds(50));
  Faults_.SlowMilliseconds_ = 60'000;
  Standin_.setFaults(Faults_);
  CHECK_FALSE(Io_.run(Store_->get("a", Last_)).has_value());
  CHECK(put("a", "one", 0).Status_ == store::PutStatus::Unknown);
}

TEST(HttpStore, downStoreAndCutOffHostGetErrorsThatNameStepAndPeer) {
  Faults_.Cut_ = {"h1"};
  Standin_.setFaults(Faults_);
  CHECK_FALSE(Io_.run(Store_->get("a", Last_)).has_value());
  STRCMP_EQUAL("store.get", Last_.Step_.c_str());
  CHECK(!Last_.Peer_.empty());
  const auto Other = makeStore("h2", milliseconds(5000));
  CHECK(Io_.run(Other->get("a", Last_)).has_value());
  Faults_.Down_ = true;
  Standin_.setFaults(Faults_);
  CHECK_FALSE(Io_.run(Other->get("a", Last_)).has_value());
}

TEST(HttpStore, nothingListeningIsCertainlyNotWritten) {
  store::HttpStore Nowhere(Io_.executor(),
                           {"127.0.0.1", 1, "h1", milliseconds(5000)});
  const auto Result = Io_.run(Nowhere.put("a", "one", 0, Last_));
  CHECK(Result.Status_ == store::PutStatus::Failed);
}

TEST(HttpStore, watchAnswersOnceThePathIsPastTheKnownVersion) {
  put("a", "one", 0);
  auto Watching = std::async(std::launch::async, [this] {
    base::Error Ignored;
    return Io_.run(Store_->watch("a", 1, std::chrono::seconds(20), Ignored));
  });
  CHECK(
      lychee::tests::waitFor([&] { return Standin_.counts()["watch"] == 1; }));
  put("a", "two", 1);
  const auto Seen = require(Watching.get());
  STRCMP_EQUAL("two", Seen.Value_.c_str());
}

TEST(HttpStore, watchWithoutChangeAnswersTheKnownVersionAfterItsWait) {
  put("a", "one", 0);
  const auto Seen =
      require(Io_.run(Store_->watch("a", 1, milliseconds(20), Last_)));
  UNSIGNED_LONGLONGS_EQUAL(1, Seen.Version_);
}

// A watch goes silent: the store has lost track of the waiting call and never
// answers. The watcher must get its error at wait plus deadline, not hang.
TEST(HttpStore, silentWatchEndsAtWaitPlusDeadline) {
  put("a", "one", 0);
  Faults_.SilentWatch_ = true;
  Standin_.setFaults(Faults_);
  Store_ = makeStore("h1", milliseconds(50));
  CHECK_FALSE(
      Io_.run(Store_->watch("a", 0, milliseconds(20), Last_)).has_value());
  STRCMP_EQUAL("store.watch", Last_.Step_.c_str());
}

TEST(HttpStore, staleWatchIsToldByItsVersion) {
  put("a", "one", 0);
  put("a", "two", 1);
  Faults_.StaleWatch_ = true;
  Standin_.setFaults(Faults_);
  const auto Seen =
      require(Io_.run(Store_->watch("a", 1, milliseconds(20), Last_)));
  UNSIGNED_LONGLONGS_EQUAL(1, Seen.Version_);
}
