#include "shifting/ShiftPlan.h"
#include "base/Random.h"

#include "CppUTest/TestHarness.h"

using lychee::base::PlanId;
using lychee::base::Random;
using lychee::base::WallPoint;
using lychee::shifting::callerPosition;
using lychee::shifting::plannedFraction;
using lychee::shifting::ShiftPlan;
using namespace std::chrono_literals;

TEST_GROUP(ShiftPlan) {
  ShiftPlan Plan_;
  WallPoint Start_ = WallPoint(1000s);

  void setup() override {
    Plan_.Id_ = PlanId("plan");
    Plan_.Cap_ = 0.35;
    Plan_.Step_ = 0.1;
    Plan_.Pace_ = 60s;
    Plan_.StateSince_ = Start_;
  }

  double at(lychee::base::Duration After) const {
    return plannedFraction(Plan_, Start_ + After);
  }
};

TEST(ShiftPlan, advancesAtItsPaceUpToItsCap) {
  DOUBLES_EQUAL(0, at(-1s), 1e-9);
  DOUBLES_EQUAL(0.1, at(0s), 1e-9);
  DOUBLES_EQUAL(0.1, at(59s), 1e-9);
  DOUBLES_EQUAL(0.2, at(60s), 1e-9);
  DOUBLES_EQUAL(0.35, at(24h), 1e-9);
}

TEST(ShiftPlan, aHoldKeepsTheMovedShareAndAResumeContinuesFromIt) {
  Plan_ = holdPlan(Plan_, Start_ + 70s);
  DOUBLES_EQUAL(0.2, at(10h), 1e-9);
  Plan_ = resumePlan(Plan_, Start_ + 10h);
  DOUBLES_EQUAL(0.3, at(10h), 1e-9);
}

TEST(ShiftPlan, anAbortMovesBackByTheSameSteps) {
  Plan_ = abortPlan(Plan_, Start_ + 24h);
  DOUBLES_EQUAL(0.25, at(24h), 1e-9);
  DOUBLES_EQUAL(0.15, at(24h + 60s), 1e-9);
  DOUBLES_EQUAL(0, at(25h), 1e-9);
}

// An operator holds, resumes and aborts a plan at random times, and hosts
// evaluate it at random times. In any order the share never exceeds the cap,
// and no action moves more than one step at once.
TEST(ShiftPlan, noSequenceOfActionsExceedsTheCapOrJumps) {
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    Random Numbers(Seed);
    ShiftPlan Changed = Plan_;
    WallPoint Now = Start_ - 30s;
    for (int Action = 0; Action < 30; ++Action) {
      Now += std::chrono::seconds(lychee::base::drawBelow(Numbers, 200));
      const double Before = plannedFraction(Changed, Now);
      switch (lychee::base::drawBelow(Numbers, 3)) {
      case 0:
        Changed = holdPlan(Changed, Now);
        break;
      case 1:
        Changed = resumePlan(Changed, Now);
        break;
      default:
        Changed = abortPlan(Changed, Now);
      }
      const double After = plannedFraction(Changed, Now);
      CHECK(After <= Plan_.Cap_ + 1e-9);
      CHECK(After >= 0);
      CHECK(std::abs(After - Before) <= Plan_.Step_ + 1e-9);
    }
  }
}

// Positions of callers decide which of them move. A position that depended on
// the share would move callers back and forth at each step, with cold caches on
// both sides.
TEST(ShiftPlan, positionsAreUniformAndIndependentBetweenPlans) {
  const PlanId Other("other");
  constexpr int Callers = 20000;
  int BelowTenth = 0;
  int BelowBoth = 0;
  for (std::uint64_t Caller = 0; Caller < Callers; ++Caller) {
    const bool First = callerPosition(Caller, Plan_.Id_) < 0.1;
    BelowTenth += First ? 1 : 0;
    BelowBoth += First && callerPosition(Caller, Other) < 0.5 ? 1 : 0;
  }
  DOUBLES_EQUAL(0.1, static_cast<double>(BelowTenth) / Callers, 0.01);
  DOUBLES_EQUAL(0.05, static_cast<double>(BelowBoth) / Callers, 0.01);
}
