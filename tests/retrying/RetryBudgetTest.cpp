#include "retrying/RetryBudget.h"
#include "retrying/HedgingPolicy.h"

#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::TimePoint;
using lychee::retrying::HedgeDecision;
using lychee::retrying::HedgingPolicy;
using lychee::retrying::PendingSend;
using lychee::retrying::RetryBudget;
using namespace std::chrono_literals;

TEST_GROUP(RetryBudget) {
  RetryBudget Budget_;
  TimePoint Now_ = TimePoint(100s);

  int spendAll() {
    int Spent = 0;
    while (Budget_.spend(Now_))
      ++Spent;
    return Spent;
  }
};

// Every target fails for a minute, at 100 requests a second. Retrying each
// request would double the load of the targets while they fail. Only the saved
// tokens and one retry a second may be spent.
TEST(RetryBudget, retriesFadeInAnOutage) {
  int Retries = 0;
  for (int Request = 0; Request < 6000; ++Request) {
    Now_ += 10ms;
    Retries += Budget_.spend(Now_) ? 1 : 0;
  }
  CHECK(Retries <= 10 + 61);
}

TEST(RetryBudget, retriesAreAFractionOfSuccesses) {
  spendAll();
  for (int Each = 0; Each < 50; ++Each)
    Budget_.recordSuccess();
  LONGS_EQUAL(5, spendAll());
}

TEST(RetryBudget, idleTimeSavesNoMoreThanTheMaximum) {
  Now_ += 24h;
  LONGS_EQUAL(10, spendAll());
}

// One target's budget is exhausted and the host's is not. Taking the host's
// token nevertheless would leave none for retries to other targets.
TEST(RetryBudget, spendBothTakesFromBothOrNeither) {
  RetryBudget Target;
  while (Target.spend(Now_))
    ;
  CHECK_FALSE(RetryBudget::spendBoth(Budget_, Target, Now_));
  LONGS_EQUAL(10, spendAll());
}

TEST_GROUP(HedgingPolicy) {
  PendingSend Send_;

  void setup() override {
    Send_.Idempotent_ = true;
    Send_.ReusedConnection_ = true;
    Send_.Started_ = TimePoint(100s);
    Send_.Deadline_ = TimePoint(102s);
    Send_.MeanExecutionTime_ = 20ms;
  }

  void expect(HedgeDecision::Action Action, const char *Reason,
              std::chrono::milliseconds After) const {
    const HedgeDecision Found =
        HedgingPolicy::decide(Send_, Send_.Started_ + After);
    CHECK(Action == Found.Action_);
    STRCMP_EQUAL(Reason, std::string(Found.Reason_).c_str());
  }
};

// A middlebox dropped the connection's state, so that nothing will be received
// on it and the request would wait until its deadline. After four times the
// mean execution time the request is hedged on a new connection.
TEST(HedgingPolicy, aSilentReusedConnectionIsHedged) {
  expect(HedgeDecision::Action::Wait, "not-yet-silent", 79ms);
  expect(HedgeDecision::Action::SendHedge, "silent", 80ms);
}

TEST(HedgingPolicy, aNewConnectionGetsTwiceTheTime) {
  Send_.ReusedConnection_ = false;
  expect(HedgeDecision::Action::Wait, "not-yet-silent", 159ms);
  expect(HedgeDecision::Action::SendHedge, "silent", 160ms);
}

TEST(HedgingPolicy, aRequestThatIsNotIdempotentIsNeverHedged) {
  Send_.Idempotent_ = false;
  expect(HedgeDecision::Action::Never, "not-idempotent", 500ms);
}

TEST(HedgingPolicy, thereIsAtMostOneHedge) {
  Send_.AlreadyHedged_ = true;
  expect(HedgeDecision::Action::Never, "hedged-before", 500ms);
}

TEST(HedgingPolicy, noHedgeAfterTheResponseHasStarted) {
  Send_.ResponseStarted_ = true;
  expect(HedgeDecision::Action::Never, "answer-begun", 500ms);
}

TEST(HedgingPolicy, noHedgeWithoutTimeForASecondRun) {
  expect(HedgeDecision::Action::Never, "no-time-left", 1990ms);
  Send_.Deadline_ = Send_.Started_ + 90ms;
  expect(HedgeDecision::Action::Never, "no-time-left", 1ms);
}
