#include "dispatch/DispatchSteering.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
namespace live = lychee::live;
using lychee::steering::Decision;
using lychee::steering::Ran;
using lychee::steering::Refusal;
using lychee::steering::Request;
using lychee::steering::SendOutcome;
using lychee::steering::SendReport;
using namespace std::chrono_literals;

TEST_GROUP(DispatchSteering) {
  base::TimePoint Now_ = base::TimePoint(100s);
  bool Picked_ = true;
  dispatch::DispatchSteering Steering_{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 1},
      {[this](std::uint64_t) { return Picked_; }},
      base::TimePoint(100s)};
  std::vector<live::KnownTarget> Targets_;
  std::vector<lychee::steering::Wakeup> Woken_;

  void setup() override {
    auto Intent = std::make_shared<live::Intent>();
    Intent->Version_ = 3;
    live::ServiceRule Rule;
    Rule.Id_ = base::ServiceId("portal");
    Rule.ColdRatePerSecond_ = 5;
    Rule.ColdTime_ = 3s;
    Intent->Services_.emplace(Rule.Id_, Rule);
    Steering_.setIntent(Intent, Now_);
    for (int Each = 1; Each <= 4; ++Each)
      addTarget("t" + std::to_string(Each));
    push();
  }
  void addTarget(const std::string &Name) {
    live::KnownTarget Made;
    Made.Record_.Id_ = base::TargetId(Name);
    Made.Record_.Service_ = base::ServiceId("portal");
    Made.Record_.Address_ = "127.0.0.1:" + std::to_string(Targets_.size() + 80);
    Made.Record_.Zone_ = base::ZoneId("north-a");
    Made.Record_.Slots_ = 3;
    Made.Record_.Started_ = 1;
    Targets_.push_back(Made);
  }
  void push() {
    Steering_.setTargets(
        Targets_, {{base::ZoneId("north-a"), base::RegionId("north")}}, Now_);
  }
  Request requestOf(bool Idempotent, std::uint32_t MaximumSends = 2) const {
    Request Made;
    Made.Id_ = base::RequestId("r1");
    Made.Service_ = base::ServiceId("portal");
    Made.Rule_ = "rule";
    Made.Deadline_ = Now_ + 800ms;
    Made.Idempotent_ = Idempotent;
    Made.MaxSends_ = MaximumSends;
    Made.ObjectHash_ = 42;
    Made.Fingerprint_ = 7;
    return Made;
  }
  Decision arrive(const Request &Made) { return Steering_.arrive(Made, Now_); }
  Decision finish(const Decision &Sent, SendOutcome End, int Status = 0,
                  bool Silent = false) {
    SendReport Report;
    Report.Outcome_ = End;
    Report.Status_ = Status;
    Report.TimedOut_ = Silent;
    Report.Took_ = 100ms;
    return Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
  }
};

// A booking is sent, and its connection ends without an answer. It may have
// run: sent again it could run twice, and refused with "not run" the caller
// would send it again itself.
TEST(DispatchSteering, aLostBookingIsNotSentAgainAndMayHaveRun) {
  const Decision Sent = arrive(requestOf(false));
  CHECK(Sent.Action_ == Decision::Action::Send);
  const Decision After = finish(Sent, SendOutcome::LostBeforeResponse);
  CHECK(After.Action_ == Decision::Action::Refuse);
  CHECK(After.Refusal_ == Refusal::TargetFailed);
  CHECK(After.Ran_ == Ran::Maybe);
}

TEST(DispatchSteering, aShedBookingGoesToAnotherTarget) {
  const Decision Sent = arrive(requestOf(false));
  const Decision After = finish(Sent, SendOutcome::Shed, 503);
  CHECK(After.Action_ == Decision::Action::Send);
  CHECK(After.Target_ != Sent.Target_);
}

// The booking was shed, sent again, and lost. What the first target said does
// not hold for the second.
TEST(DispatchSteering, aBookingShedAndThenLostMayHaveRun) {
  const Decision First = arrive(requestOf(false, 3));
  const Decision Second = finish(First, SendOutcome::Shed, 503);
  CHECK(finish(Second, SendOutcome::LostBeforeResponse).Ran_ == Ran::Maybe);
}

// A look-up was lost, sent again and shed everywhere. The first target may have
// run it; "503, not run" would be a lie.
TEST(DispatchSteering, aLookupLostAndThenShedMayHaveRun) {
  const Decision First = arrive(requestOf(true));
  const Decision Second = finish(First, SendOutcome::LostBeforeResponse);
  CHECK(Second.Action_ == Decision::Action::Send);
  const Decision After = finish(Second, SendOutcome::Shed, 503);
  CHECK(After.Action_ == Decision::Action::Refuse);
  CHECK(After.Ran_ == Ran::Maybe);
}

TEST(DispatchSteering, noRequestGoesToMoreTargetsThanItsRuleAllows) {
  Decision Made = arrive(requestOf(true, 2));
  int Sends = 0;
  while (Made.Action_ == Decision::Action::Send) {
    ++Sends;
    Made = finish(Made, SendOutcome::Shed, 503);
  }
  LONGS_EQUAL(2, Sends);
}

TEST(DispatchSteering, aFailedConnectIsNoSend) {
  const Decision First = arrive(requestOf(false, 1));
  const Decision Second = finish(First, SendOutcome::ConnectFailed);
  CHECK(Second.Action_ == Decision::Action::Send);
  CHECK(Second.Target_ != First.Target_);
}

TEST(DispatchSteering, aFailureOfTheTargetsOwnIsTriedElsewhereWhereItMayBe) {
  const Decision Lookup = arrive(requestOf(true));
  CHECK(finish(Lookup, SendOutcome::Answered, 500).Action_ ==
        Decision::Action::Send);
  const Decision Booking = arrive(requestOf(false));
  CHECK(finish(Booking, SendOutcome::Answered, 500).Action_ !=
        Decision::Action::Send);
}

// What no target can do in time is refused at once, and the caller is told when
// to come back; held, it would take the place of what can be done.
TEST(DispatchSteering, whatCannotBeDoneInTimeIsRefusedAtOnce) {
  Request Late = requestOf(true);
  Late.Deadline_ = Now_ + 20ms;
  const Decision Made = arrive(Late);
  CHECK(Made.Action_ == Decision::Action::Refuse);
  CHECK(Made.Refusal_ == Refusal::NoHeadroom);
  CHECK(Made.Ran_ == Ran::No);
  CHECK(Made.RetryAfter_ > base::Duration::zero());
}

// A target is silent past its time while no other target can answer before the
// deadline. Ended then, the request would be lost although its target works.
TEST(DispatchSteering, aSilentTargetIsLeftOnlyForOneThatCanStillAnswer) {
  const Decision Sent = arrive(requestOf(true));
  CHECK(Sent.ResponseDeadline_ < Now_ + 800ms);
  CHECK(Steering_.mayAbandonSend(Sent.Ticket_, Now_ + 400ms));
  const Decision Second = arrive(requestOf(true));
  CHECK_FALSE(Steering_.mayAbandonSend(Second.Ticket_, Now_ + 790ms));
}

// A look-up runs cold at its target, which takes 3.3 times as long as a warm
// run and is no silence. Given up, its work would be lost and done once more.
TEST(DispatchSteering, aColdRunIsWaitedFor) {
  const dispatch::WorkTimes Unseen;
  const Decision Sent = arrive(requestOf(true));
  CHECK(Sent.ResponseDeadline_ >
        Now_ + base::fromSeconds(Unseen.coldSeconds() * 1.2));
}

TEST(DispatchSteering, aBookingIsWaitedForUntilItsDeadline) {
  CHECK(arrive(requestOf(false)).ResponseDeadline_ == base::TimePoint::max());
}

// A look-up runs for seconds on a kept connection that shows no sign of life,
// and its target says in the meantime that it leaves. Sent once more it would
// reach the target after the last moment for new work.
TEST(DispatchSteering, nothingIsRepeatedAtATargetThatLeaves) {
  const Decision Sent = arrive(requestOf(true));
  CHECK(Steering_.mayHedge(Sent.Ticket_, Now_));
  for (live::KnownTarget &Each : Targets_)
    Each.Record_.Leaving_ = true;
  push();
  CHECK_FALSE(Steering_.mayHedge(Sent.Ticket_, Now_));
  for (live::KnownTarget &Each : Targets_)
    Each.Record_.Leaving_ = false;
  push();
  Steering_.setEvacuated({base::ZoneId("north-a")}, Now_);
  CHECK_FALSE(Steering_.mayHedge(Sent.Ticket_, Now_));
}

// Repeats count among the second sends that all hosts together may make.
TEST(DispatchSteering, repeatsAreInTheBudgetOfSecondSends) {
  const Decision Sent = arrive(requestOf(true));
  int Repeats = 0;
  while (Steering_.mayHedge(Sent.Ticket_, Now_))
    ++Repeats;
  CHECK(Repeats >= 1);
  CHECK(Repeats <= live::DeploymentBounds().RetrySlack_);
}

// A request crashes two targets: each takes no connection right after it was
// lost. The request is refused from then on. One that only lost its answers is
// not: answers get lost on the way.
TEST(DispatchSteering, aRequestThatCrashesTargetsIsRefused) {
  for (const char *Name : {"t1", "t2"}) {
    Targets_.clear();
    addTarget(Name);
    push();
    finish(arrive(requestOf(false)), SendOutcome::LostBeforeResponse);
    Request Other = requestOf(false);
    Other.Fingerprint_ = 99;
    CHECK(arrive(requestOf(false)).Refusal_ != Refusal::CrashSuspect);
    finish(arrive(Other), SendOutcome::ConnectFailed);
  }
  CHECK(arrive(requestOf(false)).Refusal_ == Refusal::CrashSuspect);
  Request Innocent = requestOf(false);
  Innocent.Fingerprint_ = 99;
  CHECK(arrive(Innocent).Refusal_ != Refusal::CrashSuspect);
}

TEST(DispatchSteering, anotherTargetAtTheAddressIsNotSentToAgain) {
  const Decision Sent = arrive(requestOf(true));
  SendReport Report;
  Report.Outcome_ = SendOutcome::Shed;
  Report.Status_ = 421;
  Report.WrongTarget_ = true;
  Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
  for (int Each = 0; Each < 20; ++Each)
    CHECK(arrive(requestOf(true)).Target_ != Sent.Target_);
}

// A zone is evacuated and taken back. Its targets had nothing to do and are
// cold, which their entries may not say yet.
TEST(DispatchSteering, aZoneTakenBackCountsAsCold) {
  Steering_.setEvacuated({base::ZoneId("north-a")}, Now_);
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Refuse);
  Steering_.setEvacuated({}, Now_);
  Picked_ = false;
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Refuse);
  Picked_ = true;
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Send);
}

// A target starts again under its old name, at its old address. What was known
// of its earlier start says nothing about it.
TEST(DispatchSteering, aNewStartIsATargetOfItsOwn) {
  const Decision Sent = arrive(requestOf(true));
  finish(Sent, SendOutcome::ConnectFailed);
  for (live::KnownTarget &Each : Targets_)
    Each.Record_.Started_ = 2;
  push();
  CHECK(arrive(requestOf(true)).Target_ == Sent.Target_);
}

/// A host whose region has another one that keeps the customer's tokens, and a
/// third that takes its place.
TEST_GROUP(DispatchTokens) {
  base::TimePoint Now_ = base::TimePoint(100s);
  std::vector<std::string> Asked_;
  dispatch::DispatchSteering Steering_{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 1},
      {[](std::uint64_t) { return true; },
       [this](const std::string &Holder, std::uint64_t,
              const base::CustomerId &) { Asked_.push_back(Holder); }},
      base::TimePoint(100s)};
  std::vector<lychee::steering::Wakeup> Woken_;

  void setup() override {
    auto Intent = std::make_shared<live::Intent>();
    Intent->Version_ = 3;
    Intent->Services_[base::ServiceId("portal")].Id_ =
        base::ServiceId("portal");
    live::CustomerRule Rule;
    Rule.Id_ = base::CustomerId("parish");
    Rule.RatePerSecond_ = 10;
    Rule.Burst_ = 10;
    Intent->Customers_.push_back(Rule);
    Steering_.setIntent(Intent, Now_);
    live::KnownTarget Target;
    Target.Record_.Id_ = base::TargetId("t1");
    Target.Record_.Service_ = base::ServiceId("portal");
    Target.Record_.Zone_ = base::ZoneId("north-a");
    Target.Record_.Slots_ = 3;
    Steering_.setTargets(std::span(&Target, 1),
                         {{base::ZoneId("north-a"), base::RegionId("north")}},
                         Now_);
    dispatch::FleetDemand Fleet;
    Fleet.Self_.Region_ = base::RegionId("north");
    Fleet.Serving_ = false;
    for (const char *Name : {"one", "two"}) {
      lychee::members::HostView View;
      View.Descriptor_.Host_ = base::HostId(Name);
      View.Descriptor_.Region_ = base::RegionId("north");
      View.Descriptor_.Address_ = Name;
      View.Alive_ = View.Ready_ = View.HoldsShare_ = true;
      Fleet.Others_.push_back(View);
    }
    Steering_.updateFleetDemand(Fleet, Now_);
  }
  Decision arrive() {
    Request Made;
    Made.Service_ = base::ServiceId("portal");
    Made.Rule_ = "rule";
    Made.Customer_ = base::CustomerId("parish");
    Made.Deadline_ = Now_ + 800ms;
    Made.ObjectHash_ = 42;
    return Steering_.arrive(Made, Now_);
  }
};

TEST(DispatchTokens, aRequestWithATokenIsSent) {
  const Decision Waits = arrive();
  CHECK(Waits.Action_ == Decision::Action::Wait);
  LONGS_EQUAL(1, Asked_.size());
  Steering_.handleTokenResponse(Waits.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Ticket_ == Waits.Ticket_);
  CHECK(Woken_[0].Decision_.Action_ == Decision::Action::Send);
}

TEST(DispatchTokens, aRequestWithoutATokenIsRefusedAndToldWhen) {
  const Decision Waits = arrive();
  Steering_.handleTokenResponse(Waits.Ticket_, base::Duration(700ms), Now_,
                                Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Refusal_ == Refusal::RateLimited);
  CHECK(Woken_[0].Decision_.Ran_ == Ran::No);
  CHECK(Woken_[0].Decision_.RetryAfter_ == base::Duration(700ms));
}

// The keeper has just died. The request waits for it, then for the next in
// line, and is answered after that, whatever comes late.
TEST(DispatchTokens, aKeeperThatDoesNotAnswerHoldsNothingUp) {
  const Decision Waits = arrive();
  Now_ += dispatch::DispatchSteering::TokenPatience;
  Steering_.tick(Now_, Woken_);
  CHECK(Woken_.empty());
  LONGS_EQUAL(2, Asked_.size());
  CHECK(Asked_[0] != Asked_[1]);
  Now_ += dispatch::DispatchSteering::TokenPatience;
  Steering_.tick(Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Action_ != Decision::Action::Wait);
  Steering_.handleTokenResponse(Waits.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
}

// The caller hangs up while its request waits. The token that comes is lost,
// and nothing is sent for nobody.
TEST(DispatchTokens, aCallerThatLeftGetsNothingSent) {
  const Decision Waits = arrive();
  Steering_.cancel(Waits.Ticket_, Now_);
  Steering_.handleTokenResponse(Waits.Ticket_, std::nullopt, Now_, Woken_);
  Steering_.tick(Now_ + 1s, Woken_);
  CHECK(Woken_.empty());
}

// The keeper waits for its processor, and the host that is asked in its place
// has given the few tokens that it may. The caller is within its rate, so the
// keeper's word is waited for as long as it would be without the other's.
TEST(DispatchTokens, aRefusalInTheKeepersPlaceIsNotTheLastWord) {
  const Decision Waits = arrive();
  Now_ += dispatch::DispatchSteering::TokenPatience;
  Steering_.tick(Now_, Woken_);
  Steering_.handleTokenResponse(Waits.Ticket_, base::Duration(700ms), Now_,
                                Woken_);
  CHECK(Woken_.empty());
  Steering_.handleTokenResponse(Waits.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Action_ == Decision::Action::Send);
}

// The same, and the keeper is dead. What the other said stands.
TEST(DispatchTokens, aRefusalStandsWhereTheKeeperStaysSilent) {
  arrive();
  Now_ += dispatch::DispatchSteering::TokenPatience;
  Steering_.tick(Now_, Woken_);
  Steering_.handleTokenResponse(1, base::Duration(700ms), Now_, Woken_);
  Now_ += dispatch::DispatchSteering::TokenPatience;
  Steering_.tick(Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Refusal_ == Refusal::RateLimited);
  CHECK(Woken_[0].Decision_.RetryAfter_ == base::Duration(700ms));
}
