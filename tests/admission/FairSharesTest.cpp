#include "admission/CapacityEstimate.h"
#include "admission/PriorityOrder.h"
#include "admission/WaterLevel.h"

#include <array>
#include <cmath>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace admission = lychee::admission;
namespace base = lychee::base;
using namespace std::chrono_literals;

TEST_GROUP(WaterLevel){};

// Guards against a customer below its share that is refused for what others
// send, and against capacity that stays unused.
TEST(WaterLevel, cutsOnlyCustomersAboveTheirShareAndUsesAllCapacity) {
  const std::vector<admission::WeightedDemand> Demands{
      {10, 1}, {20, 1}, {500, 1}, {70, 1}};
  const double Level = admission::waterLevel(Demands, 0.3);
  double Served = 0;
  for (const auto &[PerSecond, Weight] : Demands)
    Served += std::min(PerSecond, Level * Weight);
  DOUBLES_EQUAL(0.3 * 600, Served, 0.01);
  CHECK(Level >= 70);
  CHECK(Level < 500);
}

TEST(WaterLevel, aWeightOfTwoGetsTwiceAsMuch) {
  const std::vector<admission::WeightedDemand> Demands{{300, 1}, {300, 2}};
  DOUBLES_EQUAL(100, admission::waterLevel(Demands, 0.5), 0.01);
}

TEST(WaterLevel, whereAllIsServedThereIsNoLevel) {
  const std::vector<admission::WeightedDemand> Demands{{300, 1}};
  CHECK(std::isinf(admission::waterLevel(Demands, 1)));
  CHECK(std::isinf(admission::waterLevel({}, 0.5)));
}

TEST_GROUP(PriorityOrder) {
  admission::PriorityOrder Order_;

  /// \returns the part of the requests of a priority that is served.
  double served(std::uint32_t Priority, double Fraction) const {
    constexpr int Draws = 1000;
    int Admitted = 0;
    for (int Each = 0; Each < Draws; ++Each)
      Admitted +=
          Order_.decide({Fraction, Priority, false, (Each + 0.5) / Draws})
                      .Outcome_ == admission::ShareOutcome::Admitted
              ? 1
              : 0;
    return double(Admitted) / Draws;
  }
};

// Guards against less urgent requests that take the room of more urgent ones.
TEST(PriorityOrder, theMoreUrgentIsNeverServedLess) {
  Order_.setDemands(std::array<double, admission::PriorityCount>{30, 50, 20});
  for (double Fraction = 0.05; Fraction < 1; Fraction += 0.05) {
    CHECK(served(0, Fraction) >= served(1, Fraction));
    CHECK(served(1, Fraction) >= served(2, Fraction));
  }
}

// Guards against a priority that gets nothing while others are served.
TEST(PriorityOrder, theLeastUrgentIsServedAQuarterAsOftenAsAll) {
  Order_.setDemands(std::array<double, admission::PriorityCount>{60, 30, 10});
  for (double Fraction = 0.1; Fraction < 1; Fraction += 0.1)
    CHECK(served(2, Fraction) >= 0.25 * Fraction);
}

TEST_GROUP(CapacityEstimate) {
  base::TimePoint Now_ = base::TimePoint(100s);
  admission::CapacityEstimate Estimate_;

  void update(const admission::WorkPressure &Region, double SlotShare,
              base::Duration Time) {
    for (base::Duration Passed{}; Passed < Time; Passed += 200ms)
      Estimate_.update(Region, SlotShare, Now_ += 200ms);
  }
};

// Guards against a region whose requests wait at targets that others keep full:
// its estimate fell to 7% although the slots would have served most of it.
TEST(CapacityEstimate, neverFallsBelowWhatTheSlotsCanServe) {
  update({100, 50, 40}, 0.8, 20s);
  CHECK(Estimate_.share() >= 0.8);
  CHECK(Estimate_.isLimited());
}

TEST(CapacityEstimate, endsWithTheShortage) {
  update({100, 100, 40}, 0.3, 5s);
  CHECK(Estimate_.share() < 0.8);
  update({50, 50, 0}, 1, 10s);
  DOUBLES_EQUAL(1, Estimate_.share(), 0.001);
  CHECK(!Estimate_.isLimited());
}
