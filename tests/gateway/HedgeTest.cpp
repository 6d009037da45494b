#include "gateway/Fixture.h"
#include "gateway/HedgePolicy.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::gateway::HedgePolicy;
using lychee::steering::SendOutcome;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;
using namespace std::chrono_literals;

TEST_GROUP(Hedge){};

TEST(Hedge, onlyConnectionsThatLayIdleAreHedged) {
  const HedgePolicy Policy;
  CHECK_FALSE(Policy.delayFor(999ms, 1s).has_value());
  CHECK(Policy.delayFor(1s, 1s) == HedgePolicy::LeastDelay);
}

TEST(Hedge, aSlowTargetIsGivenFourTimesItsUsualTime) {
  HedgePolicy Policy;
  for (int Index = 0; Index < 100; ++Index)
    Policy.answered(300ms);
  CHECK(Policy.delayFor(1s, 1s) == 1200ms);
}

// A target grows slow for all. Hedges would double its load and make it
// slower; they stop at one in twenty answers.
TEST(Hedge, hedgesAreABoundedShareOfAnswers) {
  HedgePolicy Policy;
  int Hedges = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    if (Policy.delayFor(1s, 1s)) {
      Policy.spend();
      ++Hedges;
    }
    Policy.answered(20ms);
  }
  CHECK(Hedges <= 5 + 1000 / 20);
  CHECK(Hedges >= 1000 / 20);
}

// The pooled connection goes silent while new ones work. An idempotent request
// on it is sent once more on a new connection and answered; the caller sees
// nothing of it, and no other request meets the silent connection.
TEST(Hedge, aSilentConnectionCostsAnIdempotentRequestNothingButTime) {
  Fixture Under;
  Under.Settings_.HedgeIdleLimit_ = {};
  Under.Settings_.Threads_ = 1;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  Under.target().setFaults(tests::faultsOf("silent=1"));
  for (int Index = 0; Index < 3; ++Index)
    LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
  const auto Ends = Under.Steering_->ends();
  LONGS_EQUAL(4, std::count(Ends.begin(), Ends.end(), SendOutcome::Answered));
  LONGS_EQUAL(2, Under.target().connectionsMade());
}

// The steering lets nothing more go to the target: it leaves. The first send
// goes on until it is answered or the time is up, and none follows it.
TEST(Hedge, aTargetThatMayGetNothingMoreGetsNoSecondSend) {
  Fixture Under;
  Under.Settings_.HedgeIdleLimit_ = {};
  Under.Settings_.Threads_ = 1;
  Under.Steering_->MayRepeat_ = false;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  Under.target().setFaults(tests::faultsOf("silent=1"));
  LONGS_EQUAL(
      504,
      Caller.request("GET", "/s/x", "Lychee-Deadline-Ms: 1000\r\n").Status_);
  LONGS_EQUAL(1, Under.target().connectionsMade());
}

// The second send is refused by the target as not run. The first may have run
// all the same, and its answer is awaited until the deadline; the refusal then
// must not say "not run".
TEST(Hedge, aShedSecondSendDoesNotProveThatTheFirstDidNotRun) {
  Fixture Under;
  Under.Settings_.HedgeIdleLimit_ = {};
  Under.Settings_.Threads_ = 1;
  Under.Steering_->MaximumSends_ = 1;
  Under.start();
  RawClient Caller(Under.address());
  LONGS_EQUAL(200, Caller.request("GET", "/s/warm").Status_);
  Under.target().setFaults(tests::faultsOf("silent=1&shed=1"));
  const RawAnswer Answer =
      Caller.request("GET", "/s/x", "Lychee-Deadline-Ms: 1000\r\n");
  LONGS_EQUAL(504, Answer.Status_);
  STRCMP_EQUAL("maybe", Answer.header("lychee-ran").c_str());
}

/// A target that works longer than usual on a request of a kept connection, so
/// that a second copy is sent.
TEST_GROUP(HedgeOfLongWork) {
  Fixture Fixture_{1, {.Slots_ = 50}};
  std::unique_ptr<RawClient> Caller_;
  void setup() override {
    Fixture_.Settings_.HedgeIdleLimit_ = {};
    Fixture_.Settings_.Threads_ = 1;
    Fixture_.Steering_->MaximumSends_ = 1;
    Fixture_.start();
    Caller_ = std::make_unique<RawClient>(Fixture_.address());
    LONGS_EQUAL(200, Caller_->request("GET", "/s/warm").Status_);
  }
  /// Begins a request whose first copy is at work when this returns.
  void beginLongWork() {
    Caller_->send(tests::requestText("GET", "/s/x?work_ms=1000"));
    CHECK(tests::waitFor([&] { return Fixture_.runs() == 2; }));
  }
};

// The second copy was shed, and the caller got 502 though the first was at
// work.
TEST(HedgeOfLongWork, aSecondCopyThatIsShedLeavesTheFirstAtWork) {
  beginLongWork();
  Fixture_.target().setFaults(tests::faultsOf("shed=1"));
  LONGS_EQUAL(200, Caller_->readAnswer().Status_);
  LONGS_EQUAL(2, Fixture_.target().connectionsMade());
  LONGS_EQUAL(2, Fixture_.runs());
}

// The second copy reset the connection on which the first was at work.
TEST(HedgeOfLongWork, theFirstCopysAnswerIsTaken) {
  beginLongWork();
  Fixture_.target().setFaults(tests::faultsOf("slow_ms=3000"));
  LONGS_EQUAL(200, Caller_->readAnswer().Status_);
  LONGS_EQUAL(3, Fixture_.runs());
  CHECK(
      tests::waitFor([&] { return Fixture_.target().connectionsOpen() == 1; }));
}

TEST(HedgeOfLongWork, aSecondCopyThatIsWithheldLeavesTheFirstAtWork) {
  beginLongWork();
  Fixture_.Steering_->WithheldWrite_ = 3;
  LONGS_EQUAL(200, Caller_->readAnswer().Status_);
  LONGS_EQUAL(2, Fixture_.runs());
}
