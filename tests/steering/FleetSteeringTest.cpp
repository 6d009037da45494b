#include "steering/FleetSteering.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace settings = lychee::settings;
namespace steering = lychee::steering;

using Action = steering::Decision::Action;

TEST_GROUP(FleetSteering) {
  base::TimePoint Now_{std::chrono::seconds(100)};
  steering::FleetSteering Steering_{
      {base::HostId("host-1"), base::RegionId("near"), 1, {}}};
  std::vector<steering::Wakeup> Woken_;

  void setup() override {
    settings::Intent Intent;
    Intent.Version_ = 1;
    Intent.Regions_[base::RegionId("near")] = {base::RegionId("near"),
                                               {base::ZoneId("near-1")}};
    settings::Customer Parish;
    Parish.Id_ = base::CustomerId("parish");
    Parish.RatePerSecond_ = 100;
    Parish.Burst_ = 10;
    Intent.Customers_[Parish.Id_] = Parish;
    settings::Service Rota;
    Rota.Id_ = base::ServiceId("rota");
    for (const char *Name : {"rota-1", "rota-2"})
      Rota.Targets_.push_back({.Id_ = base::TargetId(Name),
                               .Zone_ = base::ZoneId("near-1"),
                               .Address_ = "127.0.0.1:1"});
    Intent.Services_[Rota.Id_] = Rota;
    Steering_.applyIntent(std::make_shared<settings::Intent>(Intent), Now_);
    Now_ += std::chrono::seconds(1);
  }

  steering::Request request() const {
    steering::Request Result;
    Result.Service_ = base::ServiceId("rota");
    Result.Customer_ = base::CustomerId("parish");
    Result.PreferredRegions_ = {base::RegionId("near")};
    Result.Deadline_ = Now_ + std::chrono::seconds(1);
    return Result;
  }

  /// The target turns the request away and asks for a rest.
  steering::Decision turnAway(std::uint64_t Ticket, base::Duration Rest) {
    steering::AnswerHead Head;
    Head.Status_ = 503;
    Head.NotRun_ = true;
    Head.Statement_.Rest_.For_ = Rest;
    Steering_.recordAnswerHead(Ticket, Head, Now_);
    return end(Ticket, steering::SendOutcome::Shed);
  }

  steering::Decision end(std::uint64_t Ticket, steering::SendOutcome End) {
    return Steering_.finish(Ticket, {.Outcome_ = End}, Now_, Woken_);
  }
};

TEST(FleetSteering, aRequestWaitsUntilASlotIsFree) {
  const auto First = Steering_.arrive(request(), Now_);
  const auto Second = Steering_.arrive(request(), Now_);
  CHECK(First.Action_ == Action::Send && Second.Action_ == Action::Send);
  CHECK(First.Target_ != Second.Target_);
  const auto Third = Steering_.arrive(request(), Now_);
  CHECK(Third.Action_ == Action::Wait);
  end(Second.Ticket_, steering::SendOutcome::Answered);
  LONGS_EQUAL(1, Woken_.size());
  LONGS_EQUAL(Third.Ticket_, Woken_[0].Ticket_);
  CHECK(Woken_[0].Decision_.Target_ == Second.Target_);
}

TEST(FleetSteering, aWaitEndsAtTheDeadline) {
  Steering_.arrive(request(), Now_);
  Steering_.arrive(request(), Now_);
  Steering_.arrive(request(), Now_);
  Steering_.tick(Now_ + std::chrono::seconds(1), Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Refusal_ == steering::Refusal::DeadlineExceeded);
  CHECK(Woken_[0].Decision_.Ran_ == steering::Ran::No);
}

TEST(FleetSteering, aCustomerOverItsRateIsRefusedWithARetryTime) {
  for (int Count = 0; Count < 10; ++Count)
    Steering_.arrive(request(), Now_);
  const auto Over = Steering_.arrive(request(), Now_);
  CHECK(Over.Refusal_ == steering::Refusal::RateLimited);
  CHECK(Over.RetryAfter_ > base::Duration(0));
}

TEST(FleetSteering, aSendThatMayHaveRunIsNotRetried) {
  // The target loses the connection after the whole request was written. The
  // request is not idempotent, so a retry could execute it twice.
  const auto First = Steering_.arrive(request(), Now_);
  const auto Next =
      end(First.Ticket_, steering::SendOutcome::LostBeforeResponse);
  CHECK(Next.Action_ == Action::Refuse);
  CHECK(Next.Ran_ == steering::Ran::Maybe);
}

TEST(FleetSteering, aShedRequestIsRetriedAtAnotherTarget) {
  const auto First = Steering_.arrive(request(), Now_);
  const auto Next = end(First.Ticket_, steering::SendOutcome::Shed);
  CHECK(Next.Action_ == Action::Send);
  CHECK(Next.Target_ != First.Target_);
}

// Guards against requests to a target in the rest that it asked for.
TEST(FleetSteering, aTargetThatAskedForARestGetsNothingUntilItEnds) {
  using std::chrono::seconds;
  const auto First = Steering_.arrive(request(), Now_);
  const auto Second = turnAway(First.Ticket_, seconds(3));
  CHECK(Steering_.isResting(base::ServiceId("rota"), First.Target_, Now_));
  CHECK(Second.Action_ == Action::Send);
  CHECK(Second.Target_ != First.Target_);
  end(Second.Ticket_, steering::SendOutcome::Answered);
  for (int Count = 0; Count < 50; ++Count) {
    Now_ += std::chrono::milliseconds(50);
    const auto Sent = Steering_.arrive(request(), Now_);
    CHECK(Sent.Target_ == Second.Target_);
    end(Sent.Ticket_, steering::SendOutcome::Answered);
  }
  Now_ += seconds(1);
  bool IsUsedAgain = false;
  for (int Count = 0; Count < 50; ++Count) {
    Now_ += std::chrono::milliseconds(50);
    const auto Sent = Steering_.arrive(request(), Now_);
    IsUsedAgain = IsUsedAgain || Sent.Target_ == First.Target_;
    end(Sent.Ticket_, steering::SendOutcome::Answered);
  }
  CHECK(IsUsedAgain);
}

TEST(FleetSteering, aRequestIsNotWrittenIntoARest) {
  const auto First = Steering_.arrive(request(), Now_);
  CHECK(Steering_.mayWrite(First.Ticket_, Now_));
  steering::AnswerHead Head;
  Head.Status_ = 503;
  Head.Statement_.Rest_.For_ = std::chrono::seconds(3);
  Steering_.recordAnswerHead(First.Ticket_, Head, Now_);
  CHECK_FALSE(Steering_.mayWrite(First.Ticket_, Now_));
  const auto Next = end(First.Ticket_, steering::SendOutcome::Withheld);
  CHECK(Next.Action_ == Action::Send);
  CHECK(Next.Target_ != First.Target_);
}

// Guards against requests that wait while all targets rest.
TEST(FleetSteering, whereAllRestItIsRefusedAtOnceUntilTheFirstEnds) {
  using std::chrono::seconds;
  const auto First = Steering_.arrive(request(), Now_);
  const auto Second = turnAway(First.Ticket_, seconds(9));
  const auto Last = turnAway(Second.Ticket_, seconds(4));
  CHECK(Last.Action_ == Action::Refuse);
  const auto Refused = Steering_.arrive(request(), Now_);
  CHECK(Refused.Action_ == Action::Refuse);
  CHECK(Refused.Refusal_ == steering::Refusal::TargetsRest);
  CHECK(Refused.Ran_ == steering::Ran::No);
  CHECK(Refused.RetryAfter_ >= seconds(4));
  CHECK(Refused.RetryAfter_ <= seconds(6));
  Now_ += seconds(4);
  CHECK(Steering_.arrive(request(), Now_).Action_ == Action::Send);
}
