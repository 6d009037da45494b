#include "dispatch/ColdTargetRateLimiter.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/RegionLoads.h"
#include "dispatch/SendBudget.h"
#include "dispatch/TargetHealth.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(SendBudget){};

// Every target refuses for 10 s. Twelve hosts with 100 requests a second each
// stay, together, below a fifth of the requests and the slack.
TEST(SendBudget, allHostsTogetherStayWithinTheBudget) {
  int Spent = 0;
  for (int Host = 0; Host < 12; ++Host) {
    dispatch::SendBudget Budget(0.2, 64);
    for (int Request = 0; Request < 1000; ++Request) {
      Budget.requested(12);
      Spent += Budget.spend() ? 1 : 0;
    }
  }
  CHECK(Spent <= 0.2 * 12'000 + 64);
  CHECK(Spent >= 0.15 * 12'000);
}

TEST(SendBudget, whatWasNotNeededCanBeSpentAgain) {
  dispatch::SendBudget Budget(0, 64);
  CHECK(Budget.spend());
  CHECK_FALSE(Budget.spend());
  Budget.refund();
  CHECK(Budget.spend());
}

TEST_GROUP(ColdTargetRateLimiter){};

// Two hosts each believe that they are picked, for the seconds in which a third
// one's end goes unnoticed. Together they stay at 1.5 times the rate.
TEST(ColdTargetRateLimiter, twoHostsStayWithinTheBound) {
  dispatch::ColdTargetRateLimiter First;
  dispatch::ColdTargetRateLimiter Second;
  int Sent = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    const base::TimePoint Now(100s + Step * 1ms);
    Sent += First.take(5, Now) ? 1 : 0;
    Sent += Second.take(5, Now) ? 1 : 0;
  }
  CHECK(Sent <= 8);
  CHECK(Sent >= 6);
}

// All targets of a service fail for a moment and are taken out. Their service
// has no stated rate for cold targets, so none could be sounded, and every
// request was refused until the hosts were started again. They are sounded at
// the rate that deployments state where they state one.
TEST(ColdTargetRateLimiter, withoutAStatedRateTargetsAreSoundedAllTheSame) {
  dispatch::ColdTargetRateLimiter First;
  dispatch::ColdTargetRateLimiter Second;
  int Sent = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    const base::TimePoint Now(100s + Step * 1ms);
    Sent += First.take(0, Now) ? 1 : 0;
    Sent += Second.take(0, Now) ? 1 : 0;
  }
  CHECK(Sent <= 8);
  CHECK(Sent >= 6);
}

TEST_GROUP(TargetHealth) {
  dispatch::TargetHealth Trust_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

// The way to a target is cut for a moment; the target is well, and its entry
// never changes. Only the host that is picked would sound it, and a host that
// lost all targets so refused every request until it was started again.
TEST(TargetHealth, aTargetWhoseEntryStandsIsTrustedAgain) {
  Trust_.unreachable(Now_);
  CHECK(Trust_.isOnProbation(Now_ + dispatch::TargetHealth::EntryProof - 1ms));
  Now_ += dispatch::TargetHealth::EntryProof;
  CHECK_FALSE(Trust_.isOnProbation(Now_));
  Trust_.answered(Now_);
  CHECK_FALSE(Trust_.isOnProbation(Now_));
}

// A target ends. Its entry stays for seconds; it is out after one connect that
// failed, and sounded by one host alone until it has answered for a while.
TEST(TargetHealth, anUnreachableTargetIsOutAndThenOnProbation) {
  Trust_.unreachable(Now_);
  CHECK(Trust_.isOut(Now_ + 500ms));
  Now_ += dispatch::TargetHealth::FirstOut;
  CHECK_FALSE(Trust_.isOut(Now_));
  CHECK(Trust_.isOnProbation(Now_));
  Trust_.answered(Now_);
  CHECK(Trust_.isOnProbation(Now_ + 1s));
  CHECK_FALSE(Trust_.isOnProbation(Now_ + dispatch::TargetHealth::Probation));
}

// One answer in twenty is lost on the way. The target is well.
TEST(TargetHealth, answersLostNowAndThenDoNotTakeATargetOut) {
  for (int Each = 0; Each < 100; ++Each) {
    if (Each % 20 == 0)
      Trust_.failed(Now_);
    else
      Trust_.answered(Now_);
    CHECK_FALSE(Trust_.isOut(Now_));
  }
}

TEST(TargetHealth, failuresInARowTakeATargetOut) {
  for (std::uint32_t Each = 0; Each < dispatch::TargetHealth::FailuresInRow;
       ++Each)
    Trust_.failed(Now_);
  CHECK(Trust_.isOut(Now_));
}

TEST_GROUP(LoadEstimate) {
  dispatch::LoadEstimate Load_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(LoadEstimate, ownRequestsCountExactly) {
  Load_.sent();
  Load_.sent();
  DOUBLES_EQUAL(2, Load_.at({}, Now_), 0.001);
  Load_.ended();
  DOUBLES_EQUAL(1, Load_.at({}, Now_), 0.001);
}

// A target said that it was full; a second later other hosts' requests are done
// and nobody has told so. Believed for longer, the target would stay unused.
TEST(LoadEstimate, aReportFades) {
  const dispatch::UsualLoad Usual{0, 0.15};
  Load_.reported({3, 4, 3}, Now_);
  DOUBLES_EQUAL(7, Load_.at(Usual, Now_), 0.001);
  CHECK(Load_.at(Usual, Now_ + 1s) < 1.5);
}

// Guards against a long queue that is forgotten before it is worked off.
TEST(LoadEstimate, aLongQueueIsBelievedUntilItIsWorkedOff) {
  const dispatch::UsualLoad Usual{0, 0.6};
  Load_.reported({9, 27, 9}, Now_);
  CHECK(Load_.at(Usual, Now_ + 1s) > 24);
  CHECK(Load_.at(Usual, Now_ + 12s) < 2);
}

// Guards against targets that count as idle since this host did not hear of
// them.
TEST(LoadEstimate, aTargetNotHeardOfIsAsBusyAsItsRegion) {
  const dispatch::UsualLoad Usual{7, 0.6};
  DOUBLES_EQUAL(7, Load_.at(Usual, Now_), 0.001);
  Load_.reported({1, 0, 9}, Now_);
  DOUBLES_EQUAL(1, Load_.at(Usual, Now_), 0.001);
  CHECK(Load_.at(Usual, Now_ + 3s) > 6);
}

TEST_GROUP(RegionLoads) {
  dispatch::RegionLoads Loads_;
  const base::RegionId North_ = base::RegionId("north");
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(RegionLoads, eachRegionHasTheMeanOfItsReports) {
  Loads_.reported(North_, 0.5, Now_);
  Loads_.reported(North_, 1.5, Now_);
  Loads_.reported(base::RegionId("south"), 4, Now_);
  DOUBLES_EQUAL(1, Loads_.othersPerSlot(North_, 0.6, Now_), 0.001);
  DOUBLES_EQUAL(0, Loads_.othersPerSlot(base::RegionId("west"), 0.6, Now_),
                0.001);
}

// Guards against a region that is refused for good since the last that was
// heard of it was an overload.
TEST(RegionLoads, whereNothingIsSentLoadIsWorkedOff) {
  Loads_.reported(North_, 4, Now_);
  CHECK(Loads_.othersPerSlot(North_, 0.6, Now_ + 1s) > 2.5);
  CHECK(Loads_.othersPerSlot(North_, 0.6, Now_ + 8s) < 0.5);
}

TEST(LoadEstimate, aRefusalCountsAsFull) {
  Load_.refused(3, Now_);
  CHECK(Load_.at({}, Now_) >= 6);
}
