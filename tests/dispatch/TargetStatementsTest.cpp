#include "dispatch/DispatchSteering.h"

#include <algorithm>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
namespace live = lychee::live;
namespace members = lychee::members;
using dispatch::StatementTable;
using dispatch::TargetStatements;
using lychee::steering::AnswerHead;
using lychee::steering::Decision;
using lychee::steering::Ran;
using lychee::steering::Refusal;
using lychee::steering::Request;
using lychee::steering::SendOutcome;
using lychee::steering::SendReport;
using namespace std::chrono_literals;

namespace {

AnswerHead turnedAway(std::optional<base::Duration> Rest) {
  AnswerHead Head;
  Head.Status_ = 503;
  Head.NotRun_ = true;
  Head.Took_ = 5ms;
  Head.Statement_.Rest_.For_ = Rest;
  return Head;
}

AnswerHead answered(bool Leaving) {
  AnswerHead Head;
  Head.Status_ = 200;
  Head.Took_ = 100ms;
  Head.Statement_.Leaving_ = Leaving;
  return Head;
}

} // namespace

TEST_GROUP(TargetStatements) {
  base::TimePoint Now_ = base::TimePoint(100s);
  TargetStatements Stated_;
};

TEST(TargetStatements, aRestEndsWithItsTime) {
  CHECK(Stated_.recordAnswer(turnedAway(1500ms), Now_).Rest_);
  CHECK_FALSE(Stated_.acceptsRequests(Now_ + 1499ms));
  CHECK(Stated_.acceptsRequests(Now_ + 1500ms));
}

// Guards against a rest that a later answer with a shorter one cuts off.
TEST(TargetStatements, ofSeveralRestsTheOneThatEndsLastHolds) {
  Stated_.recordAnswer(turnedAway(5s), Now_);
  CHECK_FALSE(Stated_.recordAnswer(turnedAway(1s), Now_ + 100ms).Rest_);
  CHECK_FALSE(Stated_.recordAnswer(turnedAway(0s), Now_ + 200ms).Rest_);
  Stated_.recordAnswer(answered(false), Now_ + 300ms);
  CHECK_FALSE(Stated_.acceptsRequests(Now_ + 4999ms));
  CHECK(Stated_.recordAnswer(turnedAway(7s), Now_ + 400ms).Rest_);
  CHECK_FALSE(Stated_.acceptsRequests(Now_ + 7s));
}

TEST(TargetStatements, aRestOfHoursIsKept) {
  Stated_.recordAnswer(turnedAway(3h), Now_);
  CHECK_FALSE(Stated_.acceptsRequests(Now_ + 2h));
}

TEST(TargetStatements, aLeavingIsAnnouncedAndStays) {
  CHECK(Stated_.recordAnswer(answered(true), Now_).Leaving_);
  CHECK_FALSE(Stated_.recordAnswer(answered(true), Now_ + 1s).Leaving_);
  Stated_.recordAnswer(answered(false), Now_ + 2s);
  CHECK(Stated_.isLeaving());
  CHECK(Stated_.leavingAnnouncement().isAnnounced(Now_ + 1s));
  CHECK(Stated_.reportLeaving(7, Now_ + 1s) ==
        (members::TargetLeaving{7, 1000ms}));
}

// Guards against announcements that hosts send back and forth for good.
TEST(TargetStatements, aLeavingThatOthersAnnounceIsToldToOtherRegionsOnly) {
  CHECK(Stated_.mergeLeaving({7, 100ms}, true, Now_));
  CHECK_FALSE(Stated_.mergeLeaving({7, 0ms}, true, Now_ + 1s));
  CHECK_FALSE(Stated_.leavingAnnouncement().isAnnounced(Now_));
  CHECK(Stated_.leavingAnnouncement().isRelayed(Now_ + 1s));
  CHECK_FALSE(Stated_.leavingAnnouncement().isRelayed(Now_ + 2s));
}

TEST_GROUP(StatementTable) {
  base::TimePoint Now_ = base::TimePoint(100s);
  StatementTable Table_;
};

TEST(StatementTable, statementsOutliveTheirTargetsEntryForAWhile) {
  Table_.at(1, Now_)->recordAnswer(turnedAway(3h), Now_);
  Table_.at(2, Now_)->recordAnswer(turnedAway(3s), Now_);
  Table_.at(3, Now_);
  Table_.expire(Now_ + 5s);
  LONGS_EQUAL(1, Table_.size());
  CHECK_FALSE(Table_.at(1, Now_ + 5s)->acceptsRequests(Now_ + 5s));
  Table_.expire(Now_ + 5s + StatementTable::RetentionTime);
  LONGS_EQUAL(0, Table_.size());
}

TEST(StatementTable, whatATargetHoldsDoesNotExpire) {
  const auto Held = Table_.at(1, Now_);
  Table_.expire(Now_ + StatementTable::RetentionTime);
  POINTERS_EQUAL(Held.get(), Table_.at(1, Now_).get());
}

// Guards against memory that grows with targets that others announce.
TEST(StatementTable, targetsWithoutAnEntryAreBounded) {
  for (std::uint64_t Target = 0; Target < 2 * StatementTable::MaxUnknownTargets;
       ++Target)
    if (TargetStatements *Stated = Table_.atUnknown(Target, Now_))
      Stated->mergeLeaving({Target, 0ms}, true, Now_);
  LONGS_EQUAL(StatementTable::MaxUnknownTargets, Table_.size());
  LONGS_EQUAL(members::MaxTargetLeavings,
              Table_.leavings(&dispatch::Announcement::isRelayed, Now_).size());
}

/// A steering with four targets, of which one or all say something.
TEST_GROUP(StatedRest) {
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
    for (int Index = 0; Index < 4; ++Index) {
      live::KnownTarget Known;
      Known.Record_.Id_ = base::TargetId("t" + std::to_string(Index));
      Known.Record_.Service_ = base::ServiceId("portal");
      Known.Record_.Address_ = "127.0.0.1:" + std::to_string(Index + 80);
      Known.Record_.Zone_ = base::ZoneId("north-a");
      Known.Record_.Slots_ = 3;
      Known.Record_.Started_ = 1;
      Targets_.push_back(Known);
    }
    applyTargets();
    serve();
  }
  /// The only host serves long enough to own all rates.
  void serve() {
    for (base::Duration Ago = 3s; Ago >= 0s; Ago -= 500ms)
      Steering_.updateFleetDemand({}, Now_ - Ago);
  }
  void applyTargets() {
    Steering_.setTargets(
        Targets_, {{base::ZoneId("north-a"), base::RegionId("north")}}, Now_);
  }
  Decision arrive(std::uint64_t Object = 42, std::uint32_t MaxSends = 2) {
    Request Result;
    Result.Id_ = base::RequestId("r1");
    Result.Service_ = base::ServiceId("portal");
    Result.Rule_ = "rule";
    Result.Deadline_ = Now_ + 800ms;
    Result.Idempotent_ = true;
    Result.MaxSends_ = MaxSends;
    Result.ObjectHash_ = Object;
    Result.Fingerprint_ = Object;
    return Steering_.arrive(Result, Now_);
  }
  Decision finish(const Decision &Sent, SendOutcome End) {
    SendReport Report;
    Report.Outcome_ = End;
    Report.Status_ = End == SendOutcome::Shed ? 503 : 0;
    Report.Took_ = 100ms;
    return Steering_.finish(Sent.Ticket_, Report, Now_, Woken_);
  }
  /// \returns the decision that follows.
  Decision turnAway(const Decision &Sent, base::Duration Rest) {
    Steering_.recordAnswerHead(Sent.Ticket_, turnedAway(Rest), Now_);
    return finish(Sent, SendOutcome::Shed);
  }
  /// Requests for many objects. \returns how many go to \p Target.
  int sendsTo(const base::TargetId &Target) {
    int Count = 0;
    for (std::uint64_t Object = 1; Object <= 100; ++Object) {
      const Decision Sent = arrive(Object);
      if (Sent.Action_ != Decision::Action::Send)
        continue;
      Count += Sent.Target_ == Target ? 1 : 0;
      finish(Sent, SendOutcome::Cancelled);
    }
    return Count;
  }
  /// All targets ask for rests, the first one for the shortest.
  void restAll(base::Duration First) {
    std::set<std::string> Resting;
    for (std::uint64_t Object = 1; Resting.size() < Targets_.size(); ++Object) {
      const Decision Sent = arrive(Object, 1);
      CHECK(Sent.Action_ == Decision::Action::Send);
      Resting.insert(Sent.Target_.name());
      turnAway(Sent, First + Resting.size() * 1s - 1s);
    }
  }
};

TEST(StatedRest, firstSendsAndRetriesKeepIt) {
  const Decision Sent = arrive();
  const Decision Retried = turnAway(Sent, 3s);
  CHECK(Retried.Action_ == Decision::Action::Send);
  CHECK(Retried.Target_ != Sent.Target_);
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
  // A request that was lost at another target does not go there either.
  for (std::uint64_t Object = 1; Object <= 50; ++Object) {
    const Decision Lost = arrive(Object);
    CHECK(finish(Lost, SendOutcome::LostBeforeResponse).Target_ !=
          Sent.Target_);
  }
}

TEST(StatedRest, itEndsWithItsTimeOrANewStart) {
  const base::TargetId Resting = arrive().Target_;
  turnAway(arrive(), 3s);
  Now_ += 2900ms;
  LONGS_EQUAL(0, sendsTo(Resting));
  Now_ += 200ms;
  CHECK(sendsTo(Resting) > 0);
  turnAway(arrive(), 1h);
  LONGS_EQUAL(0, sendsTo(Resting));
  for (live::KnownTarget &Known : Targets_)
    if (Known.Record_.Id_ == Resting)
      Known.Record_.Started_ = 2;
  applyTargets();
  CHECK(sendsTo(Resting) > 0);
}

// Guards against a rest that is forgotten with its target's entry.
TEST(StatedRest, entriesThatComeAndGoDoNotEndIt) {
  const Decision Sent = arrive();
  turnAway(Sent, 1h);
  const std::vector<live::KnownTarget> All = Targets_;
  Targets_.clear();
  applyTargets();
  serve();
  Targets_ = All;
  applyTargets();
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
  // It moves, and serves another service for a while.
  for (live::KnownTarget &Known : Targets_)
    Known.Record_.Zone_ = base::ZoneId("north-b");
  applyTargets();
  for (live::KnownTarget &Known : Targets_)
    Known.Record_.Service_ = base::ServiceId("other");
  applyTargets();
  Targets_ = All;
  applyTargets();
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
}

TEST(StatedRest, anEvacuationAndItsEndDoNotEndIt) {
  const Decision Sent = arrive();
  turnAway(Sent, 1h);
  Steering_.setEvacuated({base::ZoneId("north-a")}, Now_);
  Steering_.setEvacuated({}, Now_);
  Now_ += 10s;
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
}

// Guards against a second send on a new connection into the rest.
TEST(StatedRest, hedgesKeepIt) {
  const Decision Silent = arrive();
  CHECK(Steering_.mayHedge(Silent.Ticket_, Now_));
  const Decision Other = arrive();
  CHECK(Other.Target_ == Silent.Target_);
  turnAway(Other, 3s);
  CHECK_FALSE(Steering_.mayHedge(Silent.Ticket_, Now_));
}

// Guards against requests that were decided before the rest and are written in
// it, as a claim, a wait or a connect lay between.
TEST(StatedRest, whatIsNotWrittenYetGoesElsewhere) {
  const Decision Decided = arrive();
  CHECK(Steering_.mayWrite(Decided.Ticket_, Now_));
  const Decision Other = arrive();
  CHECK(Other.Target_ == Decided.Target_);
  turnAway(Other, 3s);
  CHECK_FALSE(Steering_.mayWrite(Decided.Ticket_, Now_));
  const Decision Next = finish(Decided, SendOutcome::Withheld);
  CHECK(Next.Action_ == Decision::Action::Send);
  CHECK(Next.Target_ != Decided.Target_);
  CHECK(Steering_.mayWrite(Next.Ticket_, Now_));
}

// Guards against a request that goes elsewhere and does not say why.
TEST(StatedRest, decisionsTellThatTheObjectsTargetRests) {
  const Decision Sent = arrive();
  CHECK(Sent.PassedOverTargets_.empty());
  turnAway(Sent, 3s);
  const Decision Elsewhere = arrive();
  LONGS_EQUAL(1, Elsewhere.PassedOverTargets_.size());
  CHECK(Elsewhere.PassedOverTargets_.front().Target_ == Sent.Target_);
  CHECK(Elsewhere.PassedOverTargets_.front().Reason_ == "rests");
}

// Guards against a probe into the rest: the target is cold, and this host owns
// its rate.
TEST(StatedRest, probesOfColdTargetsKeepIt) {
  const Decision Sent = arrive();
  turnAway(Sent, 3s);
  for (live::KnownTarget &Known : Targets_)
    Known.ColdUntil_ = Now_ + 10s;
  applyTargets();
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
}

// Guards against a token of the target's rate that was granted before the rest.
TEST(StatedRest, aGrantedTokenDoesNotEndIt) {
  const Decision Sent = arrive();
  AnswerHead Head = turnedAway(3s);
  Head.Statement_.Rate_.PerSecond_ = 50;
  Steering_.recordAnswerHead(Sent.Ticket_, Head, Now_);
  finish(Sent, SendOutcome::Shed);
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
}

TEST(StatedRest, a503ThatMayHaveRunAsksForItAsWell) {
  const Decision Sent = arrive();
  AnswerHead Head = turnedAway(3s);
  Head.NotRun_ = false;
  Steering_.recordAnswerHead(Sent.Ticket_, Head, Now_);
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
}

// Guards against statements of another target at the same address.
TEST(StatedRest, aTargetThatIsNotTheExpectedOneSaysNothingOfThisOne) {
  const Decision Sent = arrive();
  AnswerHead Head = turnedAway(5s);
  Head.WrongTarget_ = true;
  Head.Statement_.Leaving_ = true;
  Head.Statement_.Rate_.PerSecond_ = 1;
  Steering_.recordAnswerHead(Sent.Ticket_, Head, Now_);
  CHECK(sendsTo(Sent.Target_) > 0);
  LONGS_EQUAL(0, Steering_.limitedTargetCount());
}

// Guards against an answer of the old start that binds the new one.
TEST(StatedRest, anAnswerOfAnEarlierStartSaysNothingOfTheNewOne) {
  const Decision Sent = arrive();
  for (live::KnownTarget &Known : Targets_)
    Known.Record_.Started_ = 2;
  applyTargets();
  AnswerHead Head = turnedAway(1h);
  Head.Statement_.Leaving_ = true;
  Steering_.recordAnswerHead(Sent.Ticket_, Head, Now_);
  finish(Sent, SendOutcome::Shed);
  CHECK(sendsTo(Sent.Target_) > 0);
}

// Guards against requests that wait, or are refused without a hint, while all
// targets rest.
TEST(StatedRest, whereAllRestItIsRefusedAtOnceUntilTheFirstEnds) {
  restAll(3s);
  const Decision Refused = arrive();
  CHECK(Refused.Action_ == Decision::Action::Refuse);
  CHECK(Refused.Refusal_ == Refusal::TargetsRest);
  CHECK(Refused.Ran_ == Ran::No);
  CHECK(Refused.RetryAfter_ >= 3s);
  CHECK(Refused.RetryAfter_ <= 4500ms);
  Now_ += 2999ms;
  CHECK(arrive().Action_ == Decision::Action::Refuse);
  Now_ += 1ms;
  CHECK(arrive().Action_ == Decision::Action::Send);
}

// Guards against callers that all come back in the moment of the first end.
TEST(StatedRest, returnsAreSpread) {
  restAll(2s);
  constexpr int Callers = 400;
  constexpr int Slices = 10;
  std::vector<int> InSlice(Slices);
  for (int Caller = 0; Caller < Callers; ++Caller) {
    const double After = base::toSeconds(arrive().RetryAfter_) - 2;
    CHECK(After >= 0);
    CHECK(After < 1);
    ++InSlice[static_cast<std::size_t>(After * Slices)];
  }
  for (const int Count : InSlice)
    CHECK(Count < 2 * Callers / Slices);
}

// Guards against a request that may have run and is refused with "not run".
TEST(StatedRest, aRequestThatMayHaveRunIsNotRefusedAsNotRun) {
  const Decision Lost = arrive(42, 3);
  Decision Next = finish(Lost, SendOutcome::LostBeforeResponse);
  while (Next.Action_ == Decision::Action::Send)
    Next = turnAway(Next, 3s);
  CHECK(Next.Ran_ == Ran::Maybe);
}

TEST(StatedRest, aLeavingSaidInAnAnswerEndsSendsAtOnce) {
  const Decision Sent = arrive();
  const Decision Decided = arrive();
  Steering_.recordAnswerHead(Sent.Ticket_, answered(true), Now_);
  CHECK_FALSE(Steering_.mayWrite(Decided.Ticket_, Now_));
  CHECK_FALSE(Steering_.mayHedge(Decided.Ticket_, Now_));
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
  // The entry, written before, is read again.
  applyTargets();
  LONGS_EQUAL(0, sendsTo(Sent.Target_));
  LONGS_EQUAL(1, Steering_.announcedLeavings(Now_).size());
  LONGS_EQUAL(1, Steering_.relayedLeavings(Now_).size());
}

TEST(StatedRest, aLeavingThatOthersAnnounceBindsBeforeTheEntryIsKnown) {
  const std::vector<live::KnownTarget> All = Targets_;
  const base::TargetId Leaving = arrive().Target_;
  dispatch::DispatchSteering Other{
      {base::RegionId("north"), base::ZoneId("north-a"), {}, 2}, {}, Now_};
  Steering_.recordAnswerHead(arrive().Ticket_, answered(true), Now_);
  const auto Announced = Steering_.announcedLeavings(Now_);
  Targets_.clear();
  applyTargets();
  Other.mergeTargetLeavings(Announced, true, Now_);
  Other.setTargets(All, {{base::ZoneId("north-a"), base::RegionId("north")}},
                   Now_);
  for (std::uint64_t Object = 1; Object <= 100; ++Object) {
    Request Incoming;
    Incoming.Service_ = base::ServiceId("portal");
    Incoming.Deadline_ = Now_ + 800ms;
    Incoming.ObjectHash_ = Object;
    CHECK(Other.arrive(Incoming, Now_).Target_ != Leaving);
  }
}
