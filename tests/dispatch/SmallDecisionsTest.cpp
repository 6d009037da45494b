#include "dispatch/ColdTargetRateLimiter.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/RegionLoads.h"
#include "dispatch/SharedRetryBudget.h"
#include "dispatch/TargetHealth.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace dispatch = lychee::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(SharedRetryBudget){};

// Every target refuses for 10 s. Twelve hosts with 100 requests per second each
// stay, together, below a fifth of the requests plus the slack.
TEST(SharedRetryBudget, allHostsTogetherStayWithinTheBudget) {
  int Spent = 0;
  for (int Host = 0; Host < 12; ++Host) {
    dispatch::SharedRetryBudget Budget(0.2, 64);
    for (int Request = 0; Request < 1000; ++Request) {
      Budget.recordRequest(12);
      Spent += Budget.trySpend() ? 1 : 0;
    }
  }
  CHECK(Spent <= 0.2 * 12'000 + 64);
  CHECK(Spent >= 0.15 * 12'000);
}

TEST(SharedRetryBudget, aRefundedTokenCanBeSpentAgain) {
  dispatch::SharedRetryBudget Budget(0, 64);
  CHECK(Budget.trySpend());
  CHECK_FALSE(Budget.trySpend());
  Budget.refund();
  CHECK(Budget.trySpend());
}

TEST_GROUP(ColdTargetRateLimiter){};

// Two hosts each consider themselves elected, for the seconds in which the
// failure of a third one goes unnoticed. Together they stay at 1.5 times the
// rate.
TEST(ColdTargetRateLimiter, twoHostsStayWithinTheBound) {
  dispatch::ColdTargetRateLimiter First;
  dispatch::ColdTargetRateLimiter Second;
  int Sent = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    const base::TimePoint Now(100s + Step * 1ms);
    Sent += First.tryAcquire(5, Now) ? 1 : 0;
    Sent += Second.tryAcquire(5, Now) ? 1 : 0;
  }
  CHECK(Sent <= 8);
  CHECK(Sent >= 6);
}

// All targets of a service fail for a moment and are ejected. Their service has
// no stated rate for cold targets, so none could be probed, and every request
// was refused until the hosts were restarted. They are probed at the rate that
// deployments state where they state one.
TEST(ColdTargetRateLimiter, withoutAStatedRateTargetsAreStillProbed) {
  dispatch::ColdTargetRateLimiter First;
  dispatch::ColdTargetRateLimiter Second;
  int Sent = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    const base::TimePoint Now(100s + Step * 1ms);
    Sent += First.tryAcquire(0, Now) ? 1 : 0;
    Sent += Second.tryAcquire(0, Now) ? 1 : 0;
  }
  CHECK(Sent <= 8);
  CHECK(Sent >= 6);
}

TEST_GROUP(TargetHealth) {
  dispatch::TargetHealth Health_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

// The path to a target is cut for a moment; the target is healthy, and its
// entry never changes. Only the elected host would probe it, so a host that
// lost all targets refused every request until it was restarted.
TEST(TargetHealth, aTargetWhoseEntryPersistsLeavesProbation) {
  Health_.recordConnectFailure(Now_);
  CHECK(Health_.isOnProbation(
      Now_ + dispatch::TargetHealth::RestartDetectionTime - 1ms));
  Now_ += dispatch::TargetHealth::RestartDetectionTime;
  CHECK_FALSE(Health_.isOnProbation(Now_));
  Health_.recordAnswer(Now_);
  CHECK_FALSE(Health_.isOnProbation(Now_));
}

// A target ends. Its entry stays for seconds; it is ejected after one failed
// connect, and probed by a single host until it has answered for a while.
TEST(TargetHealth, anUnreachableTargetIsEjectedAndThenOnProbation) {
  Health_.recordConnectFailure(Now_);
  CHECK(Health_.isEjected(Now_ + 500ms));
  Now_ += dispatch::TargetHealth::BaseEjectionTime;
  CHECK_FALSE(Health_.isEjected(Now_));
  CHECK(Health_.isOnProbation(Now_));
  Health_.recordAnswer(Now_);
  CHECK(Health_.isOnProbation(Now_ + 1s));
  CHECK_FALSE(
      Health_.isOnProbation(Now_ + dispatch::TargetHealth::ProbationTime));
}

// One answer in twenty is lost on the way. The target is healthy.
TEST(TargetHealth, occasionalLostAnswersDoNotEjectATarget) {
  for (int Index = 0; Index < 100; ++Index) {
    if (Index % 20 == 0)
      Health_.recordFailure(Now_);
    else
      Health_.recordAnswer(Now_);
    CHECK_FALSE(Health_.isEjected(Now_));
  }
}

TEST(TargetHealth, consecutiveFailuresEjectATarget) {
  for (std::uint32_t Index = 0;
       Index < dispatch::TargetHealth::MaxConsecutiveFailures; ++Index)
    Health_.recordFailure(Now_);
  CHECK(Health_.isEjected(Now_));
}

TEST_GROUP(LoadEstimate) {
  dispatch::LoadEstimate Load_;
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(LoadEstimate, ownRequestsCountExactly) {
  Load_.recordSend();
  Load_.recordSend();
  DOUBLES_EQUAL(2, Load_.estimate({}, Now_), 0.001);
  Load_.recordEnd();
  DOUBLES_EQUAL(1, Load_.estimate({}, Now_), 0.001);
}

// A target reported that it was full; a second later the requests of other
// hosts are done, without a new report. Trusted for longer, the report would
// keep the target unused.
TEST(LoadEstimate, aReportDecays) {
  const dispatch::BaselineLoad Baseline{0, 0.15};
  Load_.recordReport({3, 4, 3}, Now_);
  DOUBLES_EQUAL(7, Load_.estimate(Baseline, Now_), 0.001);
  CHECK(Load_.estimate(Baseline, Now_ + 1s) < 1.5);
}

// Guards against a long queue that stops counting before it is worked off.
TEST(LoadEstimate, aLongQueueCountsUntilItIsWorkedOff) {
  const dispatch::BaselineLoad Baseline{0, 0.6};
  Load_.recordReport({9, 27, 9}, Now_);
  CHECK(Load_.estimate(Baseline, Now_ + 1s) > 24);
  CHECK(Load_.estimate(Baseline, Now_ + 12s) < 2);
}

// Guards against targets that count as idle because this host has no report of
// them.
TEST(LoadEstimate, aTargetWithoutAReportIsAsBusyAsItsRegion) {
  const dispatch::BaselineLoad Baseline{7, 0.6};
  DOUBLES_EQUAL(7, Load_.estimate(Baseline, Now_), 0.001);
  Load_.recordReport({1, 0, 9}, Now_);
  DOUBLES_EQUAL(1, Load_.estimate(Baseline, Now_), 0.001);
  CHECK(Load_.estimate(Baseline, Now_ + 3s) > 6);
}

TEST_GROUP(RegionLoads) {
  dispatch::RegionLoads Loads_;
  const base::RegionId North_ = base::RegionId("north");
  base::TimePoint Now_ = base::TimePoint(100s);
};

TEST(RegionLoads, eachRegionHasTheMeanOfItsReports) {
  Loads_.recordReport(North_, 0.5, Now_);
  Loads_.recordReport(North_, 1.5, Now_);
  Loads_.recordReport(base::RegionId("south"), 4, Now_);
  DOUBLES_EQUAL(1, Loads_.othersPerSlot(North_, 0.6, Now_), 0.001);
  DOUBLES_EQUAL(0, Loads_.othersPerSlot(base::RegionId("west"), 0.6, Now_),
                0.001);
}

// Guards against a region that is refused for good because its last reports
// were of an overload.
TEST(RegionLoads, withoutReportsTheLoadOfARegionDecays) {
  Loads_.recordReport(North_, 4, Now_);
  CHECK(Loads_.othersPerSlot(North_, 0.6, Now_ + 1s) > 2.5);
  CHECK(Loads_.othersPerSlot(North_, 0.6, Now_ + 8s) < 0.5);
}

TEST(LoadEstimate, aRefusalCountsAsFull) {
  Load_.recordRefusal(3, Now_);
  CHECK(Load_.estimate({}, Now_) >= 6);
}
