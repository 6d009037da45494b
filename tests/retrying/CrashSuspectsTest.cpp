#include "retrying/CrashSuspects.h"
#include "base/Random.h"

#include <algorithm>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::drawBelow;
using lychee::base::Random;
using lychee::base::TargetId;
using lychee::base::TimePoint;
using lychee::retrying::CrashEvidence;
using lychee::retrying::CrashSuspects;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspects) {
  CrashSuspects Suspects_;
  TimePoint Now_ = TimePoint(1000s);

  bool isSuspect(std::uint64_t Fingerprint) const {
    return Suspects_.suspectUntil(Fingerprint, Now_) > Now_;
  }
};

// A request crashes each target that runs it, and its caller sends it again and
// again. After the second target it is refused, and the third stays up. When a
// minute has passed without another loss it may try again.
TEST(CrashSuspects, twoTargetsLostMakeASuspectForAWhile) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  CHECK_FALSE(isSuspect(7));
  Now_ += 5s;
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK(isSuspect(7));
  CHECK_FALSE(isSuspect(8));
  Now_ += CrashSuspects::EvidenceAge;
  CHECK_FALSE(isSuspect(7));
}

// One target restarts twice in a row with the same long request on it. That is
// the target's fault as likely as the request's.
TEST(CrashSuspects, theSameTargetTwiceProvesNothing) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_ + 1s);
  CHECK_FALSE(isSuspect(7));
}

TEST(CrashSuspects, lossesFarApartAreUnrelated) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Now_ += CrashSuspects::EvidenceAge + 1s;
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK_FALSE(isSuspect(7));
}

TEST(CrashSuspects, anAnswerClearsTheEvidence) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordResponse(7);
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK_FALSE(isSuspect(7));
}

// The caller sends the crashing request through a different host each time. No
// host sees two losses; together they have, and each comes to know.
TEST(CrashSuspects, hostsFindItTogether) {
  CrashSuspects Other;
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Other.recordTargetLoss(7, TargetId("b"), Now_ + 1s);
  Now_ += 2s;
  Suspects_.merge(Other.evidence(Now_), Now_);
  CHECK(isSuspect(7));
}

TEST(CrashSuspects, anyOrderOfTellingGivesTheSameVerdict) {
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    Random Numbers(Seed);
    std::vector<CrashEvidence> Told;
    Told.reserve(12);
    for (int Each = 0; Each < 12; ++Each)
      Told.push_back({drawBelow(Numbers, 3), 1 + drawBelow(Numbers, 4),
                      std::chrono::seconds(drawBelow(Numbers, 70))});
    CrashSuspects One;
    CrashSuspects Two;
    One.merge(Told, Now_);
    std::shuffle(Told.begin(), Told.end(), Numbers);
    Two.merge(Told, Now_);
    Two.merge(Told, Now_); // twice does no harm
    for (std::uint64_t Fingerprint = 0; Fingerprint < 3; ++Fingerprint)
      CHECK(One.suspectUntil(Fingerprint, Now_) ==
            Two.suspectUntil(Fingerprint, Now_));
  }
}

// Guards against an outage whose losses fill the datagrams that hosts tell each
// other, so that a request that crashes targets is not told.
TEST(CrashSuspects, whatIsToldIsBoundedAndSuspectsComeFirst) {
  const TargetId First("first");
  const TargetId Second("second");
  Suspects_.recordTargetLoss(1, First, Now_);
  Suspects_.recordTargetLoss(1, Second, Now_);
  for (std::uint64_t Fingerprint = 2; Fingerprint < 400; ++Fingerprint)
    Suspects_.recordTargetLoss(Fingerprint, First, Now_ + 100ms);
  Suspects_.recordTargetLoss(400, Second, Now_ + 200ms);
  const auto Told = Suspects_.evidence(Now_ + 200ms);
  LONGS_EQUAL(CrashSuspects::MostTold, Told.size());
  LONGS_EQUAL(1, Told[0].Fingerprint_);
  LONGS_EQUAL(1, Told[1].Fingerprint_);
  LONGS_EQUAL(400, Told[2].Fingerprint_);
}

// An outage loses thousands of different requests. What is kept stays bounded,
// and a suspect found after it is still found.
TEST(CrashSuspects, aFloodOfLossesIsBounded) {
  for (std::uint64_t Each = 100; Each < 50100; ++Each)
    Suspects_.recordTargetLoss(Each, TargetId("a"), Now_);
  Now_ += 1s;
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK(isSuspect(7));
  CHECK(Suspects_.evidence(Now_).size() <= CrashSuspects::MostFingerprints + 1);
}
