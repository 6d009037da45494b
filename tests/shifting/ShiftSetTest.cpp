#include "shifting/ShiftSet.h"
#include "base/Random.h"
#include "shifting/ColdCacheCost.h"

#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::drawBelow;
using lychee::base::PlanId;
using lychee::base::Random;
using lychee::base::RegionId;
using lychee::base::TimePoint;
using lychee::base::WallPoint;
using lychee::shifting::ColdCacheCost;
using lychee::shifting::PlanStatus;
using lychee::shifting::RegionsView;
using lychee::shifting::ShiftChoice;
using lychee::shifting::ShiftPlan;
using lychee::shifting::ShiftSet;
using namespace std::chrono_literals;

namespace {

ShiftPlan planOf(const char *Name, const char *From, const char *To) {
  ShiftPlan Plan;
  Plan.Id_ = PlanId(Name);
  Plan.From_ = RegionId(From);
  Plan.To_ = RegionId(To);
  Plan.Cap_ = 0.5;
  Plan.Step_ = 0.1;
  Plan.Pace_ = 10s;
  Plan.StateSince_ = WallPoint(1000s);
  return Plan;
}

bool alwaysHeadroom(const RegionId & /*Region*/) { return true; }

} // namespace

TEST_GROUP(ShiftSet) {
  ShiftSet Set_;
  TimePoint Now_ = TimePoint(50s);
  WallPoint Wall_ = WallPoint(1000s);
  RegionsView View_;
  std::vector<PlanStatus> Last_;

  void setup() override {
    View_.ReceiverFreeSlots_ = 1000;
    View_.CallersSlots_ = 100;
  }

  /// Advances time by \p Time, with one tick per second and, if \p Measured, a
  /// new measurement before each.
  void run(std::chrono::seconds Time, bool Measured = true) {
    for (int Second = 0; Second < Time.count(); ++Second) {
      Now_ += 1s;
      Wall_ += 1s;
      if (Measured)
        View_.MeasuredAt_ = Now_;
      Last_ = Set_.tick(
          [this](const RegionId &, const RegionId &) { return View_; }, Now_,
          Wall_);
    }
  }

  void expect(double Fraction, const char *Reason, std::size_t Plan = 0) const {
    DOUBLES_EQUAL(Fraction, Last_[Plan].Status_.Fraction_, 1e-6);
    STRCMP_EQUAL(Reason, std::string(Last_[Plan].Status_.Reason_).c_str());
  }

  bool moves(std::uint64_t Caller, const char *From = "a") {
    return !Set_.route(Caller, RegionId(From), alwaysHeadroom).Plan_.empty();
  }

  /// \returns the moved callers; each sends enough requests that the cap on
  /// requests does not stand in the way.
  std::set<std::uint64_t> movedCallers() {
    std::set<std::uint64_t> Moved;
    for (int Round = 0; Round < 6; ++Round)
      for (std::uint64_t Caller = 0; Caller < 2000; ++Caller)
        if (moves(Caller))
          Moved.insert(Caller);
    return Moved;
  }
};

TEST(ShiftSet, followsThePlanWhereTheReceiverHasFreeSlots) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(1s);
  expect(0.1, "moving");
  run(100s);
  expect(0.5, "done");
}

// The receiving region fills up while a plan runs, and further steps would
// overload it. The plan holds, keeps the callers it has moved, and goes on by
// single steps once slots are free again, although it is far behind its
// schedule by then.
TEST(ShiftSet, holdsWithoutHeadroomAndDoesNotCatchUpInOneJump) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(11s);
  expect(0.2, "moving");
  View_.ReceiverFreeSlots_ = 0;
  run(60s);
  expect(0.2, "held-no-headroom");
  View_.ReceiverFreeSlots_ = 1000;
  run(1s);
  expect(0.3, "moving");
  run(1s);
  expect(0.3, "pace");
}

// Measurements of the receiver stop, for example because its reports are cut
// off, so its free capacity is unknown. The plan holds until they return.
TEST(ShiftSet, holdsWhileTheReceiverIsNotMeasured) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(1s);
  run(30s, false);
  expect(0.1, "held-no-measurement");
  run(1s);
  expect(0.2, "moving");
}

TEST(ShiftSet, aReceiverWithColdCachesGetsSmallerSteps) {
  View_.ReceiverFreeSlots_ = 20;
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(1s);
  expect(0.1, "moving");
  View_.ColdFactor_ = 2;
  run(10s);
  expect(0.15, "moving");
}

// Two plans move callers into one region at once. Each step fits by itself,
// both together do not: the second plan gets what the first one left.
TEST(ShiftSet, plansIntoOneRegionShareItsFreeSlots) {
  View_.ReceiverFreeSlots_ = 20;
  Set_.setPlans(std::vector{planOf("p", "a", "c"), planOf("q", "b", "c")});
  run(1s);
  expect(0.1, "moving", 0);
  expect(0.05, "moving", 1);
}

TEST(ShiftSet, anAbortMovesBackAtThePaceAndOnlyIntoFreeSlots) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(100s);
  Set_.setPlans(std::vector{abortPlan(planOf("p", "a", "b"), Wall_)});
  run(1s);
  expect(0.4, "aborting");
  View_.ReceiverFreeSlots_ = 0;
  run(60s);
  expect(0.4, "held-no-headroom");
  View_.ReceiverFreeSlots_ = 1000;
  run(60s);
  expect(0, "aborted");
}

TEST(ShiftSet, aRemovedPlanMovesBackStepByStep) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  run(100s);
  Set_.setPlans({});
  run(1s);
  expect(0.4, "aborting");
}

TEST(ShiftSet, aHostThatStartsLateContinuesFromItsPeersShare) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  Wall_ += 100s;
  Set_.adoptPeerShare(PlanId("p"), 0.3);
  run(1s);
  expect(0.4, "moving");
}

// A caller that flaps between two regions finds cold caches in both. A caller
// that is moved at one share must stay moved at each greater share, and a step
// must move no more callers than its size.
TEST(ShiftSet, callersMoveOnceAndInOneDirection) {
  Set_.setPlans(std::vector{planOf("p", "a", "b")});
  std::set<std::uint64_t> Before;
  for (int Step = 1; Step <= 5; ++Step) {
    run(10s);
    const std::set<std::uint64_t> Moved = movedCallers();
    for (const std::uint64_t Caller : Before)
      CHECK(Moved.contains(Caller));
    CHECK(Moved.size() <= Before.size() + 260);
    Before = Moved;
  }
}

// One caller sends a third of all requests, and the hash moves it. The share of
// moved callers is kept, but the share of moved requests would be far above the
// cap. Counted request by request it never is.
TEST(ShiftSet, oneHeavyCallerDoesNotBreakTheCap) {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    Random Numbers(Seed);
    ShiftSet Plans;
    Set_.setPlans({});
    ShiftPlan Plan = planOf("p", "a", "b");
    Plan.Cap_ = 0.1;
    Plans.setPlans(std::vector{Plan});
    Plans.adoptPeerShare(Plan.Id_, 0.1);
    int Moved = 0;
    for (int Total = 1; Total <= 2000; ++Total) {
      const bool Heavy = drawBelow(Numbers, 3) == 0;
      const std::uint64_t Caller = Heavy ? Seed : drawBelow(Numbers, 1000);
      const ShiftChoice Choice =
          Plans.route(Caller, RegionId("a"), alwaysHeadroom);
      Moved += Choice.Plan_.empty() ? 0 : 1;
      CHECK(Moved <= 0.1 * Total + 1e-6);
    }
  }
}

// Two plans and a failover steer requests into one region at the same time.
// Each plan has its own cap, but there is only one headroom of the region.
// Every steered request takes a token of it, so the sum stays within it in any
// order.
TEST(ShiftSet, plansAndFailoverTogetherStayWithinTheReceiversHeadroom) {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    Random Numbers(Seed);
    ShiftSet Plans;
    Plans.setPlans(std::vector{planOf("p", "a", "c"), planOf("q", "b", "c")});
    Plans.adoptPeerShare(PlanId("p"), 0.5);
    Plans.adoptPeerShare(PlanId("q"), 0.5);
    int Tokens = 300;
    int Steered = 0;
    const auto Take = [&Tokens](const RegionId &) {
      if (Tokens == 0)
        return false;
      --Tokens;
      return true;
    };
    for (int Total = 0; Total < 3000; ++Total) {
      const std::uint64_t Caller = Numbers();
      const std::uint32_t Cause = drawBelow(Numbers, 3);
      if (Cause == 2)
        Steered += Take(RegionId("c")) ? 1 : 0; // failover of a lost region
      else
        Steered += Plans.route(Caller, RegionId(Cause == 0 ? "a" : "b"), Take)
                           .Plan_.empty()
                       ? 0
                       : 1;
    }
    LONGS_EQUAL(300, Steered);
  }
}

TEST(ShiftSet, twoPlansFromOneRegionMoveAtMostTheirSum) {
  Set_.setPlans(std::vector{planOf("p", "a", "b"), planOf("q", "a", "c")});
  Set_.adoptPeerShare(PlanId("p"), 0.2);
  Set_.adoptPeerShare(PlanId("q"), 0.2);
  const double Moved = static_cast<double>(movedCallers().size()) / 2000;
  CHECK(Moved <= 0.4);
  DOUBLES_EQUAL(0.36, Moved, 0.03);
}

TEST_GROUP(ColdCacheCost) {
  ColdCacheCost Cost_;
  TimePoint Now_ = TimePoint(50s);

  void measure(std::chrono::milliseconds Own, std::chrono::milliseconds Moved) {
    for (int Sample = 0; Sample < 300; ++Sample) {
      Cost_.recordOwn(Own);
      Cost_.recordMoved(Moved, Now_);
    }
  }
};

TEST(ColdCacheCost, withoutMeasurementsTheFactorIsTheDefault) {
  DOUBLES_EQUAL(ColdCacheCost::DefaultFactor, Cost_.factor(Now_), 1e-9);
}

TEST(ColdCacheCost, followsMeasurementsAndDecaysToTheDefault) {
  measure(20ms, 60ms);
  DOUBLES_EQUAL(3, Cost_.factor(Now_), 0.1);
  measure(20ms, 20ms);
  DOUBLES_EQUAL(1, Cost_.factor(Now_), 0.1);
  DOUBLES_EQUAL(ColdCacheCost::DefaultFactor, Cost_.factor(Now_ + 5h), 0.1);
}
