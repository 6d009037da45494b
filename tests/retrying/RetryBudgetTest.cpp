#include "retrying/RetryBudget.h"
#include "retrying/HedgeRule.h"

#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::TimePoint;
using lychee::retrying::HedgeRule;
using lychee::retrying::HedgeVerdict;
using lychee::retrying::OpenSend;
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

// Every target fails for a minute, and 100 requests a second would each be sent
// again. The targets would see twice the load just when they fail. Only what
// was saved up and one second send a second go out.
TEST(RetryBudget, inAnOutageSecondSendsFade) {
  int Resent = 0;
  for (int Request = 0; Request < 6000; ++Request) {
    Now_ += 10ms;
    Resent += Budget_.spend(Now_) ? 1 : 0;
  }
  CHECK(Resent <= 10 + 61);
}

TEST(RetryBudget, secondSendsAreAFractionOfSuccesses) {
  spendAll();
  for (int Each = 0; Each < 50; ++Each)
    Budget_.recordSuccess();
  LONGS_EQUAL(5, spendAll());
}

TEST(RetryBudget, quietTimeDoesNotSaveUpMoreThanTheMost) {
  Now_ += 24h;
  LONGS_EQUAL(10, spendAll());
}

// One target's budget is used up while the host's is not. Taking the host's
// token all the same would starve the retries of the other targets.
TEST(RetryBudget, bothArePaidOrNeither) {
  RetryBudget Target;
  while (Target.spend(Now_))
    ;
  CHECK_FALSE(RetryBudget::spendBoth(Budget_, Target, Now_));
  LONGS_EQUAL(10, spendAll());
}

TEST_GROUP(HedgeRule) {
  OpenSend Send_;

  void setup() override {
    Send_.Idempotent_ = true;
    Send_.ReusedConnection_ = true;
    Send_.Started_ = TimePoint(100s);
    Send_.Deadline_ = TimePoint(102s);
    Send_.OrdinaryWork_ = 20ms;
  }

  void expect(HedgeVerdict::Action Action, const char *Reason,
              std::chrono::milliseconds After) const {
    const HedgeVerdict Found = HedgeRule::decide(Send_, Send_.Started_ + After);
    CHECK(Action == Found.Action_);
    STRCMP_EQUAL(Reason, std::string(Found.Reason_).c_str());
  }
};

// A connection was lost track of between the two ends. Nothing will ever come
// over it; the request would wait until its deadline. After four times ordinary
// work it goes out a second time, on a new connection.
TEST(HedgeRule, aSilentReusedConnectionIsHedged) {
  expect(HedgeVerdict::Action::Wait, "not-yet-silent", 79ms);
  expect(HedgeVerdict::Action::SendSecond, "silent", 80ms);
}

TEST(HedgeRule, aNewConnectionGetsTwiceTheTime) {
  Send_.ReusedConnection_ = false;
  expect(HedgeVerdict::Action::Wait, "not-yet-silent", 159ms);
  expect(HedgeVerdict::Action::SendSecond, "silent", 160ms);
}

TEST(HedgeRule, whatIsNotIdempotentIsNeverSentTwice) {
  Send_.Idempotent_ = false;
  expect(HedgeVerdict::Action::Never, "not-idempotent", 500ms);
}

TEST(HedgeRule, thereIsAtMostOneSecondSend) {
  Send_.HedgedBefore_ = true;
  expect(HedgeVerdict::Action::Never, "hedged-before", 500ms);
}

TEST(HedgeRule, anAnswerThatHasBegunIsNotHedged) {
  Send_.AnswerBegun_ = true;
  expect(HedgeVerdict::Action::Never, "answer-begun", 500ms);
}

TEST(HedgeRule, withoutTimeForASecondRunThereIsNone) {
  expect(HedgeVerdict::Action::Never, "no-time-left", 1990ms);
  Send_.Deadline_ = Send_.Started_ + 90ms;
  expect(HedgeVerdict::Action::Never, "no-time-left", 1ms);
}
