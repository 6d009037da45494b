#include "dispatch/DispatchSteering.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

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
  dispatch::DispatchSteering Steering_{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 1},
      {},
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
    for (int Index = 1; Index <= 4; ++Index)
      addTarget("t" + std::to_string(Index));
    applyTargets();
    serve(true);
  }
  /// The only host serves long enough to own all rates; or another one does.
  void serve(bool Serves) {
    dispatch::FleetDemand Fleet;
    Fleet.IsServing_ = Serves;
    for (base::Duration Ago = 3s; Ago >= 0s; Ago -= 500ms)
      Steering_.updateFleetDemand(Fleet, Now_ - Ago);
  }
  void addTarget(const std::string &Name) {
    live::KnownTarget Result;
    Result.Record_.Id_ = base::TargetId(Name);
    Result.Record_.Service_ = base::ServiceId("portal");
    Result.Record_.Address_ =
        "127.0.0.1:" + std::to_string(Targets_.size() + 80);
    Result.Record_.Zone_ = base::ZoneId("north-a");
    Result.Record_.Slots_ = 3;
    Result.Record_.Started_ = 1;
    Targets_.push_back(Result);
  }
  void applyTargets() {
    Steering_.setTargets(
        Targets_, {{base::ZoneId("north-a"), base::RegionId("north")}}, Now_);
  }
  Request requestOf(bool Idempotent, std::uint32_t MaximumSends = 2) const {
    Request Result;
    Result.Id_ = base::RequestId("r1");
    Result.Service_ = base::ServiceId("portal");
    Result.Rule_ = "rule";
    Result.Deadline_ = Now_ + 800ms;
    Result.Idempotent_ = Idempotent;
    Result.MaxSends_ = MaximumSends;
    Result.ObjectHash_ = 42;
    Result.Fingerprint_ = 7;
    return Result;
  }
  Decision arrive(const Request &Incoming) {
    return Steering_.arrive(Incoming, Now_);
  }
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
// run: a retry could run it twice, and a refusal that states "not run" would
// make the caller send it again.
TEST(DispatchSteering, aLostBookingIsNotRetriedAndMayHaveRun) {
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

// The booking was shed, sent again, and lost. The first target's statement that
// it did not run does not hold for the second.
TEST(DispatchSteering, aBookingShedAndThenLostMayHaveRun) {
  const Decision First = arrive(requestOf(false, 3));
  const Decision Second = finish(First, SendOutcome::Shed, 503);
  CHECK(finish(Second, SendOutcome::LostBeforeResponse).Ran_ == Ran::Maybe);
}

// A look-up was lost, sent again and shed everywhere. The first target may have
// run it, so a refusal that states "not run" would be wrong.
TEST(DispatchSteering, aLookupLostAndThenShedMayHaveRun) {
  const Decision First = arrive(requestOf(true));
  const Decision Second = finish(First, SendOutcome::LostBeforeResponse);
  CHECK(Second.Action_ == Decision::Action::Send);
  const Decision After = finish(Second, SendOutcome::Shed, 503);
  CHECK(After.Action_ == Decision::Action::Refuse);
  CHECK(After.Ran_ == Ran::Maybe);
}

TEST(DispatchSteering, noRequestGoesToMoreTargetsThanItsRuleAllows) {
  Decision Result = arrive(requestOf(true, 2));
  int Sends = 0;
  while (Result.Action_ == Decision::Action::Send) {
    ++Sends;
    Result = finish(Result, SendOutcome::Shed, 503);
  }
  LONGS_EQUAL(2, Sends);
}

TEST(DispatchSteering, aFailedConnectDoesNotCountAsASend) {
  const Decision First = arrive(requestOf(false, 1));
  const Decision Second = finish(First, SendOutcome::ConnectFailed);
  CHECK(Second.Action_ == Decision::Action::Send);
  CHECK(Second.Target_ != First.Target_);
}

TEST(DispatchSteering, aServerErrorIsRetriedElsewhereIfIdempotent) {
  const Decision Lookup = arrive(requestOf(true));
  CHECK(finish(Lookup, SendOutcome::Answered, 500).Action_ ==
        Decision::Action::Send);
  const Decision Booking = arrive(requestOf(false));
  CHECK(finish(Booking, SendOutcome::Answered, 500).Action_ !=
        Decision::Action::Send);
}

// A part of a body is no request: the target's own answer is what there is, and
// no token of the retry budget is spent on it.
TEST(DispatchSteering, aRequestWhoseBodyIsGoneIsNotRetried) {
  for (const SendOutcome End :
       {SendOutcome::Answered, SendOutcome::Shed, SendOutcome::ConnectFailed,
        SendOutcome::LostAfterPartialWrite, SendOutcome::LostBeforeResponse}) {
    const Decision Sent = arrive(requestOf(true));
    SendReport Report;
    Report.Outcome_ = End;
    Report.Status_ = End == SendOutcome::Answered ? 500 : 0;
    Report.BodyGone_ = true;
    const Decision After = Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
    CHECK(After.Action_ == Decision::Action::Refuse);
    CHECK_EQUAL(End == SendOutcome::Shed,
                After.Refusal_ == Refusal::NoHeadroom);
  }
}

// A request that no target can answer in time is refused at once, with a time
// to retry after; held, it would take a slot from one that can be answered.
TEST(DispatchSteering, aRequestThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  Request Late = requestOf(true);
  Late.Deadline_ = Now_ + 20ms;
  const Decision Result = arrive(Late);
  CHECK(Result.Action_ == Decision::Action::Refuse);
  CHECK(Result.Refusal_ == Refusal::NoHeadroom);
  CHECK(Result.Ran_ == Ran::No);
  CHECK(Result.RetryAfter_ > base::Duration::zero());
}

// A target is silent past its response timeout while no other target can answer
// before the deadline. Abandoned then, the request would be lost although its
// target works on it.
TEST(DispatchSteering, aSilentTargetIsAbandonedOnlyForOneThatCanStillAnswer) {
  const Decision Sent = arrive(requestOf(true));
  CHECK(Sent.ResponseDeadline_ < Now_ + 800ms);
  CHECK(Steering_.mayAbandonSend(Sent.Ticket_, Now_ + 400ms));
  const Decision Second = arrive(requestOf(true));
  CHECK_FALSE(Steering_.mayAbandonSend(Second.Ticket_, Now_ + 790ms));
}

// Guards against work that is broken off although its request is then refused,
// as the other targets are too full to answer it soon enough.
TEST(DispatchSteering, aSendIsAbandonedOnlyWhereTheRequestIsSentAgain) {
  Request Asked = requestOf(true);
  Asked.LatencyObjective_ = 200ms;
  Asked.ArrivedAt_ = Now_;
  const Decision Sent = arrive(Asked);
  CHECK(Sent.Action_ == Decision::Action::Send);
  Decision Filler = arrive(Asked);
  for (; Filler.Action_ == Decision::Action::Send; Filler = arrive(Asked))
    ++Asked.ObjectHash_;
  CHECK(Filler.Refusal_ == Refusal::NoHeadroom);
  if (Steering_.mayAbandonSend(Sent.Ticket_, Now_))
    CHECK(finish(Sent, SendOutcome::LostBeforeResponse, 0, true).Action_ ==
          Decision::Action::Send);
}

// Sends time out together, as they do at a target that has grown slow, and each
// finds the same room elsewhere. All but the first were broken off for nothing.
TEST(DispatchSteering, sendsThatAreAbandonedTogetherAreAllSentAgain) {
  Request Asked = requestOf(true);
  Asked.LatencyObjective_ = 200ms;
  Asked.ArrivedAt_ = Now_;
  std::vector<Decision> Sent;
  for (Decision Made = arrive(Asked); Made.Action_ == Decision::Action::Send;
       Made = arrive(Asked)) {
    Sent.push_back(Made);
    ++Asked.ObjectHash_;
  }
  // Some end, so that there is room for some of the others.
  constexpr std::size_t EndedCount = 3;
  CHECK(Sent.size() > 2 * EndedCount);
  for (std::size_t Each = 0; Each < EndedCount; ++Each)
    finish(Sent[Each], SendOutcome::Answered, 200);
  std::vector<Decision> Abandoned;
  std::copy_if(Sent.begin() + EndedCount, Sent.end(),
               std::back_inserter(Abandoned), [this](const Decision &Each) {
                 return Steering_.mayAbandonSend(Each.Ticket_, Now_);
               });
  CHECK(!Abandoned.empty());
  for (const Decision &Each : Abandoned)
    CHECK(finish(Each, SendOutcome::LostBeforeResponse, 0, true).Action_ ==
          Decision::Action::Send);
}

// A look-up runs cold at its target, which takes 3.3 times as long as a warm
// run and is no failure. Abandoned, its work would be lost and done once more.
TEST(DispatchSteering, theResponseTimeoutAllowsForAColdRun) {
  const dispatch::ExecutionTimes Unseen;
  const Decision Sent = arrive(requestOf(true));
  CHECK(Sent.ResponseDeadline_ >
        Now_ + base::fromSeconds(Unseen.coldSeconds() * 1.2));
}

TEST(DispatchSteering, aBookingHasNoResponseTimeout) {
  CHECK(arrive(requestOf(false)).ResponseDeadline_ == base::TimePoint::max());
}

// A look-up runs for seconds on a kept-alive connection without any data, and
// its target announces meanwhile that it leaves. Sent once more, it would reach
// the target after the last moment for new work.
TEST(DispatchSteering, noHedgeGoesToATargetThatLeaves) {
  const Decision Sent = arrive(requestOf(true));
  CHECK(Steering_.mayHedge(Sent.Ticket_, Now_));
  for (live::KnownTarget &Target : Targets_)
    Target.Record_.Leaving_ = true;
  applyTargets();
  CHECK_FALSE(Steering_.mayHedge(Sent.Ticket_, Now_));
  for (live::KnownTarget &Target : Targets_)
    Target.Record_.Leaving_ = false;
  applyTargets();
  Steering_.setEvacuated({base::ZoneId("north-a")}, Now_);
  CHECK_FALSE(Steering_.mayHedge(Sent.Ticket_, Now_));
}

// Hedges count in the budget that all hosts share.
TEST(DispatchSteering, hedgesCountInTheRetryBudget) {
  const Decision Sent = arrive(requestOf(true));
  int Hedges = 0;
  while (Steering_.mayHedge(Sent.Ticket_, Now_))
    ++Hedges;
  CHECK(Hedges >= 1);
  CHECK(Hedges <= live::DeploymentBounds().RetrySlack_);
}

// A request crashes two targets: each accepts no connection right after it was
// lost. The request is refused from then on. One that only lost its answers is
// not refused, since answers get lost on the way.
TEST(DispatchSteering, aRequestThatCrashesTargetsIsRefused) {
  for (const char *Name : {"t1", "t2"}) {
    Targets_.clear();
    addTarget(Name);
    applyTargets();
    finish(arrive(requestOf(false)), SendOutcome::LostBeforeResponse);
    Request Other = requestOf(false);
    Other.Fingerprint_ = 99;
    CHECK(arrive(requestOf(false)).Refusal_ != Refusal::CrashSuspect);
    finish(arrive(Other), SendOutcome::ConnectFailed);
  }
  CHECK(arrive(requestOf(false)).Refusal_ == Refusal::CrashSuspect);
  Request Unrelated = requestOf(false);
  Unrelated.Fingerprint_ = 99;
  CHECK(arrive(Unrelated).Refusal_ != Refusal::CrashSuspect);
}

TEST(DispatchSteering, aReusedAddressIsNotSentToAgain) {
  const Decision Sent = arrive(requestOf(true));
  SendReport Report;
  Report.Outcome_ = SendOutcome::Shed;
  Report.Status_ = 421;
  Report.WrongTarget_ = true;
  Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
  for (int Index = 0; Index < 20; ++Index)
    CHECK(arrive(requestOf(true)).Target_ != Sent.Target_);
}

// An availability zone is evacuated and restored. Its targets had no work and
// are cold, which their entries may not show yet.
TEST(DispatchSteering, aRestoredZoneCountsAsCold) {
  Steering_.setEvacuated({base::ZoneId("north-a")}, Now_);
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Refuse);
  Steering_.setEvacuated({}, Now_);
  serve(false);
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Refuse);
  serve(true);
  CHECK(arrive(requestOf(true)).Action_ == Decision::Action::Send);
}

// A target starts again under its old name, at its old address. What is known
// of its earlier start does not apply to it.
TEST(DispatchSteering, aRestartedTargetHasAStateOfItsOwn) {
  const Decision Sent = arrive(requestOf(true));
  finish(Sent, SendOutcome::ConnectFailed);
  for (live::KnownTarget &Target : Targets_)
    Target.Record_.Started_ = 2;
  applyTargets();
  CHECK(arrive(requestOf(true)).Target_ == Sent.Target_);
}

/// A host whose region has another one that owns the customer's tokens, and a
/// third that is the backup owner.
TEST_GROUP(DispatchTokens) {
  base::TimePoint Now_ = base::TimePoint(100s);
  std::vector<std::string> RequestedFrom_;
  dispatch::DispatchSteering Steering_{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 1},
      {[this](const std::string &Owner, std::uint64_t,
              const lychee::members::TokenRequest &) {
        RequestedFrom_.push_back(Owner);
      }},
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
    Fleet.IsServing_ = false;
    for (const char *Name : {"one", "two"}) {
      lychee::members::HostView View;
      View.Descriptor_.Host_ = base::HostId(Name);
      View.Descriptor_.Region_ = base::RegionId("north");
      View.Descriptor_.Address_ = Name;
      View.Alive_ = View.Ready_ = View.HoldsShare_ = true;
      Fleet.OtherHosts_.push_back(View);
    }
    Steering_.updateFleetDemand(Fleet, Now_);
  }
  Decision arrive() {
    Request Result;
    Result.Service_ = base::ServiceId("portal");
    Result.Rule_ = "rule";
    Result.Customer_ = base::CustomerId("parish");
    Result.Deadline_ = Now_ + 800ms;
    Result.ObjectHash_ = 42;
    return Steering_.arrive(Result, Now_);
  }
};

TEST(DispatchTokens, aRequestWithATokenIsSent) {
  const Decision Pending = arrive();
  CHECK(Pending.Action_ == Decision::Action::Wait);
  LONGS_EQUAL(1, RequestedFrom_.size());
  Steering_.handleTokenResponse(Pending.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Ticket_ == Pending.Ticket_);
  CHECK(Woken_[0].Decision_.Action_ == Decision::Action::Send);
}

TEST(DispatchTokens, aRequestWithoutATokenIsRefusedWithATimeToRetry) {
  const Decision Pending = arrive();
  Steering_.handleTokenResponse(Pending.Ticket_, base::Duration(700ms), Now_,
                                Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Refusal_ == Refusal::RateLimited);
  CHECK(Woken_[0].Decision_.Ran_ == Ran::No);
  CHECK(Woken_[0].Decision_.RetryAfter_ == base::Duration(700ms));
}

// The owner has just died. The request waits for it, then for the backup owner,
// and is decided after that; a late response has no effect.
TEST(DispatchTokens, aSilentOwnerDelaysARequestByItsTimeoutOnly) {
  const Decision Pending = arrive();
  Now_ += dispatch::DispatchSteering::TokenTimeout;
  Steering_.tick(Now_, Woken_);
  CHECK(Woken_.empty());
  LONGS_EQUAL(2, RequestedFrom_.size());
  CHECK(RequestedFrom_[0] != RequestedFrom_[1]);
  Now_ += dispatch::DispatchSteering::TokenTimeout;
  Steering_.tick(Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Action_ != Decision::Action::Wait);
  Steering_.handleTokenResponse(Pending.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
}

// The caller hangs up while its request waits. The token that arrives is lost,
// and nothing is sent.
TEST(DispatchTokens, aCancelledRequestIsNotSent) {
  const Decision Pending = arrive();
  Steering_.cancel(Pending.Ticket_, Now_);
  Steering_.handleTokenResponse(Pending.Ticket_, std::nullopt, Now_, Woken_);
  Steering_.tick(Now_ + 1s, Woken_);
  CHECK(Woken_.empty());
}

// The owner waits for its processor, and the backup owner has granted the few
// tokens that it may. The caller is within its rate, so the owner's response is
// awaited for the full time in spite of the denial.
TEST(DispatchTokens, aDenialByTheBackupOwnerIsNotFinal) {
  const Decision Pending = arrive();
  Now_ += dispatch::DispatchSteering::TokenTimeout;
  Steering_.tick(Now_, Woken_);
  Steering_.handleTokenResponse(Pending.Ticket_, base::Duration(700ms), Now_,
                                Woken_);
  CHECK(Woken_.empty());
  Steering_.handleTokenResponse(Pending.Ticket_, std::nullopt, Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Action_ == Decision::Action::Send);
}

// The same, but the owner is dead. The backup owner's denial holds.
TEST(DispatchTokens, aDenialByTheBackupOwnerHoldsIfTheOwnerStaysSilent) {
  arrive();
  Now_ += dispatch::DispatchSteering::TokenTimeout;
  Steering_.tick(Now_, Woken_);
  Steering_.handleTokenResponse(1, base::Duration(700ms), Now_, Woken_);
  Now_ += dispatch::DispatchSteering::TokenTimeout;
  Steering_.tick(Now_, Woken_);
  LONGS_EQUAL(1, Woken_.size());
  CHECK(Woken_[0].Decision_.Refusal_ == Refusal::RateLimited);
  CHECK(Woken_[0].Decision_.RetryAfter_ == base::Duration(700ms));
}
