#include "dispatch/ServiceSpeeds.h"

#include "base/Random.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::dispatch::ServiceSpeeds;
using lychee::dispatch::TargetSpeed;
using namespace std::chrono_literals;

TEST_GROUP(ServiceSpeeds) {
  ServiceSpeeds Speeds_;
  TargetSpeed Target_;
  base::TimePoint Now_ = base::TimePoint(100s);
  base::Random Random_{7};

  /// Reports of a target that is slow 15% of the time, for \p Spell at a time,
  /// heard at random moments.
  void hear(int Reports, base::Duration Spell) {
    constexpr double Slow = 0.15;
    bool IsSlow = false;
    base::TimePoint Change = Now_;
    for (int Report = 0; Report < Reports; ++Report) {
      Now_ += base::fromSeconds(base::drawUnit(Random_));
      while (Change < Now_) {
        IsSlow = !IsSlow;
        Change += IsSlow
                      ? Spell
                      : base::fromSeconds(base::toSeconds(Spell) * (1 - Slow) /
                                          Slow * 2 * base::drawUnit(Random_));
      }
      Speeds_.record(Target_, IsSlow ? 2.5 : 1, Now_);
    }
  }
};

TEST(ServiceSpeeds, whereNothingIsStatedAllRunAsUsual) {
  Speeds_.record(Target_, std::nullopt, Now_);
  DOUBLES_EQUAL(1, Speeds_.expected(Target_, Now_), 0);
  DOUBLES_EQUAL(1, Speeds_.expected(TargetSpeed(), Now_), 0);
  DOUBLES_EQUAL(1, Speeds_.ofRun(2, Target_, 1s), 0);
}

// Guards against a target that is avoided for seconds after a short slow spell.
TEST(ServiceSpeeds, aStatementDecaysTowardsTheUsual) {
  Speeds_.record(Target_, 2.5, Now_);
  DOUBLES_EQUAL(2.5, Speeds_.expected(Target_, Now_), 1e-9);
  const base::Duration HalfLife = Speeds_.halfLife();
  DOUBLES_EQUAL((2.5 + Speeds_.usual()) / 2,
                Speeds_.expected(Target_, Now_ + HalfLife), 1e-9);
  DOUBLES_EQUAL(Speeds_.usual(), Speeds_.expected(Target_, Now_ + 1min), 0.01);
}

// Guards against a pace that fits only one deployment.
TEST(ServiceSpeeds, theHalfLifeFollowsTheLengthOfTheSpells) {
  hear(4000, 600ms);
  DOUBLES_EQUAL(1 + 0.15 * 1.5, Speeds_.usual(), 0.15);
  CHECK(Speeds_.halfLife() >= 100ms && Speeds_.halfLife() <= 800ms);
  hear(4000, 20s);
  CHECK(Speeds_.halfLife() >= 3200ms);
}

// Guards against a target that no longer states its speed and is treated as
// slow for good.
TEST(ServiceSpeeds, aReportWithoutASpeedEndsTheLastStatement) {
  Speeds_.record(Target_, 2.5, Now_);
  Speeds_.record(Target_, std::nullopt, Now_);
  DOUBLES_EQUAL(1, Speeds_.expected(Target_, Now_), 0);
}

// Guards against one faulty report that makes all targets seem slow.
TEST(ServiceSpeeds, anOutlierChangesTheUsualLittle) {
  Speeds_.record(Target_, 100, Now_);
  CHECK(Speeds_.usual() < 1.05);
}
