#include "dispatch/TargetReach.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
using lychee::dispatch::TargetReach;
using namespace std::chrono_literals;

namespace {

constexpr int TargetCount = 6;

} // namespace

TEST_GROUP(TargetReachRounds) {
  base::TimePoint Now_ = base::TimePoint(100s);
  TargetReach Reach_;

  /// Plays a round of probes. \returns the change at its end.
  TargetReach::Change playRound(bool Connected) {
    const std::size_t Count = Reach_.beginRound(TargetCount, Now_);
    CHECK(Count > 0);
    auto Last = TargetReach::Change::None;
    for (std::size_t Probe = 0; Probe < Count; ++Probe)
      if (const auto Seen = Reach_.recordProbe(Reach_.round(), Connected, Now_);
          Seen != TargetReach::Change::None)
        Last = Seen;
    return Last;
  }
  void loseReach() {
    Now_ += TargetReach::RoundInterval;
    Reach_.recordConnectFailure(1, Now_);
    Reach_.recordConnectFailure(2, Now_);
    CHECK(playRound(false) == TargetReach::Change::Lost);
  }
  /// \returns the rounds that must succeed until requests are sent again.
  int roundsToRegain() {
    int Rounds = 1;
    for (Now_ += TargetReach::RoundInterval;
         playRound(true) != TargetReach::Change::Regained;
         Now_ += TargetReach::RoundInterval)
      ++Rounds;
    return Rounds;
  }
};

// Guards against a single target that crashed and is taken for a cut.
TEST(TargetReachRounds, oneTargetThatFailsIsNoSuspicion) {
  for (int Times = 0; Times < 5; ++Times)
    Reach_.recordConnectFailure(1, Now_);
  LONGS_EQUAL(0, Reach_.beginRound(TargetCount, Now_));
}

// Guards against an availability zone that is lost and taken for a cut.
TEST(TargetReachRounds, oneTargetThatIsReachedIsEnough) {
  Reach_.recordConnectFailure(1, Now_);
  Reach_.recordConnectFailure(2, Now_);
  LONGS_EQUAL(TargetReach::SuspicionProbes,
              Reach_.beginRound(TargetCount, Now_));
  for (const bool Connected : {false, false, true, false})
    CHECK(Reach_.recordProbe(Reach_.round(), Connected, Now_) ==
          TargetReach::Change::None);
  CHECK(Reach_.isReached());
  CHECK_FALSE(Reach_.isSuspicious(Now_));
}

TEST(TargetReachRounds, probesOfAnEarlierRoundDoNotCount) {
  loseReach();
  Now_ += TargetReach::RoundInterval;
  const std::uint64_t Before = Reach_.round();
  CHECK(Reach_.beginRound(TargetCount, Now_) > 0);
  CHECK(Reach_.recordProbe(Before, true, Now_) == TargetReach::Change::None);
  CHECK_FALSE(Reach_.isReached());
}

// Guards against a host that is stuck because a probe never ends.
TEST(TargetReachRounds, aRoundThatDoesNotEndIsGivenUp) {
  loseReach();
  Now_ += TargetReach::RoundInterval;
  CHECK(Reach_.beginRound(TargetCount, Now_) > 0);
  LONGS_EQUAL(0, Reach_.beginRound(TargetCount, Now_ + 600ms));
  Now_ += TargetReach::RoundTimeout;
  CHECK(playRound(true) == TargetReach::Change::Regained);
}

// Guards against a link that flaps and costs requests each time.
TEST(TargetReachRounds, aLinkThatFlapsIsTrustedLaterEachTime) {
  loseReach();
  int Before = roundsToRegain();
  LONGS_EQUAL(1, Before);
  for (int Times = 0; Times < 3; ++Times) {
    loseReach();
    const int Rounds = roundsToRegain();
    CHECK(Rounds > Before);
    Before = Rounds;
  }
  Now_ += TargetReach::FlapTime;
  loseReach();
  LONGS_EQUAL(1, roundsToRegain());
}

// Guards against connects to all targets in one moment after a cut.
TEST(TargetReachRounds, requestsComeBackByAndBy) {
  loseReach();
  DOUBLES_EQUAL(0, Reach_.ownShare(Now_), 0);
  roundsToRegain();
  CHECK(Reach_.ownShare(Now_ + 100ms) < 0.1);
  DOUBLES_EQUAL(1, Reach_.ownShare(Now_ + TargetReach::RampTime), 0);
}
