#include "gateway/Fixture.h"

#include "CppUTest/TestHarness.h"

namespace tests = lychee::tests;
using lychee::steering::SendOutcome;
using tests::Faults;
using tests::Fixture;
using tests::RawAnswer;
using tests::RawClient;

namespace {
bool holds(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}
} // namespace

TEST_GROUP(TargetFault) {
  Fixture Fixture_{2};
  void setup() override { Fixture_.start(); }
  void faultBoth(const Faults &Set) {
    Fixture_.target(0).setFaults(Set);
    Fixture_.target(1).setFaults(Set);
  }
};

TEST(TargetFault, aShedRequestGoesToTheNextTarget) {
  Fixture_.target(0).setFaults(tests::faultsOf("shed=1"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("POST", "/s/x", "", "abc");
  LONGS_EQUAL(200, Answer.Status_);
  CHECK(holds(Answer.Body_, R"("target":"t2")"));
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::Shed);
  LONGS_EQUAL(1, Fixture_.runs());
}

TEST(TargetFault, shedEverywhereIsRefusedAsNotRun) {
  faultBoth(tests::faultsOf("shed=1"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("POST", "/s/x", "", "abc");
  LONGS_EQUAL(502, Answer.Status_);
  STRCMP_EQUAL("no", Answer.header("lychee-ran").c_str());
  LONGS_EQUAL(0, Fixture_.runs());
}

TEST(TargetFault, aRefusedConnectionIsReportedAsNotConnected) {
  Fixture_.Targets_[0].reset();
  RawClient Caller(Fixture_.address());
  LONGS_EQUAL(200, Caller.request("POST", "/s/x", "", "abc").Status_);
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::ConnectFailed);
}

// The target dies while it runs an endorsement. It may have run, so it is not
// sent again, and the refusal says so; the caller must not be told "not run".
TEST(TargetFault, aLostNonIdempotentRequestMayHaveRun) {
  faultBoth(tests::faultsOf("crash_on=boom&refuse_ms=1"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("POST", "/s/x", "", "boom");
  LONGS_EQUAL(502, Answer.Status_);
  STRCMP_EQUAL("maybe", Answer.header("lychee-ran").c_str());
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::LostBeforeResponse);
  LONGS_EQUAL(1, Fixture_.runs());
}

// An answer within the held size is cut short. Nothing of it has gone to the
// caller, so an idempotent request is sent again and the caller sees a whole
// answer; part of one is never passed off as whole.
TEST(TargetFault, aCutSmallAnswerIsRetriedUnseen) {
  Fixture_.target(0).setFaults(tests::faultsOf("cut=1"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer = Caller.request("GET", "/s/x");
  LONGS_EQUAL(200, Answer.Status_);
  CHECK(holds(Answer.Body_, R"("target":"t2")"));
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::ResponseTruncated);
}

// Each answer comes twice. The second copy would be taken for the answer to
// the next request on that connection, another caller's even. A connection
// with bytes that nobody asked for is closed and not used again.
TEST(TargetFault, doubledAnswersNeverReachTheNextCaller) {
  faultBoth(tests::faultsOf("duplicate=1"));
  for (int Index = 0; Index < 20; ++Index) {
    RawClient Caller(Fixture_.address());
    const std::string Path = "/s/caller" + std::to_string(Index);
    const RawAnswer Answer = Caller.request("GET", Path);
    LONGS_EQUAL(200, Answer.Status_);
    CHECK(holds(Answer.Body_, "\"" + Path + "\""));
  }
}

// The first caller's deadline passes and its target answers later. The answer
// comes over a connection that was closed at the deadline, so that the second
// caller, served over a new one, gets its own.
TEST(TargetFault, lateAnswersNeverReachAnotherCaller) {
  faultBoth(tests::faultsOf("late_ms=150"));
  RawClient First(Fixture_.address());
  const RawAnswer Refused =
      First.request("GET", "/s/first", "Lychee-Deadline-Ms: 50\r\n");
  LONGS_EQUAL(504, Refused.Status_);
  STRCMP_EQUAL("maybe", Refused.header("lychee-ran").c_str());
  RawClient Second(Fixture_.address());
  for (int Index = 0; Index < 4; ++Index)
    CHECK(holds(Second.request("GET", "/s/second").Body_, "/s/second"));
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::Cancelled);
}

// Ten connections to the target lie idle in the pool when something between
// the two ends loses track of them all: they stay open and stay silent. One
// request finds out at its deadline. Its siblings of the same age are closed
// with it, so that the next requests open new ones and are answered.
TEST(TargetFault, oneSilentConnectionThrowsDoubtOnItsSiblings) {
  faultBoth(tests::faultsOf("slow_ms=50"));
  {
    std::vector<std::unique_ptr<RawClient>> Callers;
    for (int Index = 0; Index < 10; ++Index) {
      Callers.push_back(std::make_unique<RawClient>(Fixture_.address()));
      Callers.back()->send(tests::requestText("GET", "/s/warm"));
    }
    for (const auto &Each : Callers)
      LONGS_EQUAL(200, Each->readAnswer().Status_);
  }
  faultBoth(tests::faultsOf("silent=1"));
  RawClient Caller(Fixture_.address());
  int Lost = 0;
  for (int Index = 0; Index < 20; ++Index)
    Lost +=
        Caller.request("GET", "/s/x", "Lychee-Deadline-Ms: 1000\r\n").Status_ ==
                200
            ? 0
            : 1;
  // At most one for each target and worker.
  CHECK(Lost <= 2);
}

// Non-idempotent work on a connection that went silent would be lost with
// "may have run". It goes only on one that is new or has just shown life.
TEST(TargetFault, nonIdempotentWorkAvoidsConnectionsThatLayIdle) {
  Fixture_.Settings_.ProvenLifeLimit_ = {};
  Fixture_.start();
  RawClient Caller(Fixture_.address());
  for (int Index = 0; Index < 4; ++Index)
    LONGS_EQUAL(200, Caller.request("GET", "/s/x").Status_);
  faultBoth(tests::faultsOf("silent=1"));
  for (int Index = 0; Index < 4; ++Index)
    LONGS_EQUAL(200, Caller.request("POST", "/s/x", "", "abc").Status_);
}

TEST(TargetFault, aDeadlineEndsASlowRequest) {
  faultBoth(tests::faultsOf("slow_ms=5000"));
  RawClient Caller(Fixture_.address());
  const RawAnswer Answer =
      Caller.request("POST", "/s/x", "Lychee-Deadline-Ms: 60\r\n", "abc");
  LONGS_EQUAL(504, Answer.Status_);
  STRCMP_EQUAL("maybe", Answer.header("lychee-ran").c_str());
  CHECK(Fixture_.Steering_->ends()[0] == SendOutcome::Cancelled);
  LONGS_EQUAL(0, Fixture_.Steering_->openTickets());
}

TEST(TargetFault, theConnectionLimitHolds) {
  Fixture_.ConnectionLimit_ = 3;
  Fixture_.start();
  faultBoth(tests::faultsOf("slow_ms=100"));
  std::vector<std::unique_ptr<RawClient>> Callers;
  for (int Index = 0; Index < 20; ++Index) {
    Callers.push_back(std::make_unique<RawClient>(Fixture_.address()));
    Callers.back()->send(tests::requestText("POST", "/s/x", "", "abc"));
  }
  for (const auto &Each : Callers) {
    const RawAnswer Answer = Each->readAnswer();
    CHECK(Answer.Status_ == 200 || Answer.header("lychee-ran") == "no");
  }
  CHECK(Fixture_.target(0).connectionsMade() <= 3);
  CHECK(Fixture_.target(1).connectionsMade() <= 3);
}
