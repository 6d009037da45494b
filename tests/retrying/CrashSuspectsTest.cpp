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

// A request crashes each target that runs it, and its caller retries it. It is
// suspect after the second lost target, so that a third one is spared, and no
// longer suspect after a minute without another loss.
TEST(CrashSuspects, twoLostTargetsMakeARequestSuspect) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  CHECK_FALSE(isSuspect(7));
  Now_ += 5s;
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK(isSuspect(7));
  CHECK_FALSE(isSuspect(8));
  Now_ += CrashSuspects::EvidenceLifetime;
  CHECK_FALSE(isSuspect(7));
}

// One target restarts twice with the same long request in flight. The target
// may be the cause as well as the request.
TEST(CrashSuspects, twoLossesOfOneTargetAreNoEvidence) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_ + 1s);
  CHECK_FALSE(isSuspect(7));
}

TEST(CrashSuspects, lossesFarApartAreUnrelated) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Now_ += CrashSuspects::EvidenceLifetime + 1s;
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK_FALSE(isSuspect(7));
}

TEST(CrashSuspects, aResponseClearsTheEvidence) {
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordResponse(7);
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK_FALSE(isSuspect(7));
}

// The caller sends the crashing request through a different host each time, so
// that no host detects two losses itself. Exchanged evidence must reveal it.
TEST(CrashSuspects, mergedEvidenceOfTwoHostsMakesARequestSuspect) {
  CrashSuspects Other;
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Other.recordTargetLoss(7, TargetId("b"), Now_ + 1s);
  Now_ += 2s;
  Suspects_.merge(Other.evidence(Now_), Now_);
  CHECK(isSuspect(7));
}

TEST(CrashSuspects, evidenceInAnyOrderGivesTheSameVerdict) {
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    Random Numbers(Seed);
    std::vector<CrashEvidence> Evidence;
    Evidence.reserve(12);
    for (int Each = 0; Each < 12; ++Each)
      Evidence.push_back({drawBelow(Numbers, 3), 1 + drawBelow(Numbers, 4),
                          std::chrono::seconds(drawBelow(Numbers, 70))});
    CrashSuspects One;
    CrashSuspects Two;
    One.merge(Evidence, Now_);
    std::shuffle(Evidence.begin(), Evidence.end(), Numbers);
    Two.merge(Evidence, Now_);
    Two.merge(Evidence, Now_); // duplicates have no effect
    for (std::uint64_t Fingerprint = 0; Fingerprint < 3; ++Fingerprint)
      CHECK(One.suspectUntil(Fingerprint, Now_) ==
            Two.suspectUntil(Fingerprint, Now_));
  }
}

// The losses of an outage must not fill the datagrams between hosts, or the
// evidence of a request that crashes targets would not be announced.
TEST(CrashSuspects, announcedEvidenceIsBoundedAndSuspectsComeFirst) {
  const TargetId First("first");
  const TargetId Second("second");
  Suspects_.recordTargetLoss(1, First, Now_);
  Suspects_.recordTargetLoss(1, Second, Now_);
  for (std::uint64_t Fingerprint = 2; Fingerprint < 400; ++Fingerprint)
    Suspects_.recordTargetLoss(Fingerprint, First, Now_ + 100ms);
  Suspects_.recordTargetLoss(400, Second, Now_ + 200ms);
  const auto Announced = Suspects_.evidence(Now_ + 200ms);
  LONGS_EQUAL(CrashSuspects::MaxAnnounced, Announced.size());
  LONGS_EQUAL(1, Announced[0].Fingerprint_);
  LONGS_EQUAL(1, Announced[1].Fingerprint_);
  LONGS_EQUAL(400, Announced[2].Fingerprint_);
}

// An outage causes losses of thousands of different requests. The kept evidence
// stays bounded, and a request that becomes suspect afterwards is detected.
TEST(CrashSuspects, thousandsOfLossesStayBounded) {
  for (std::uint64_t Each = 100; Each < 50100; ++Each)
    Suspects_.recordTargetLoss(Each, TargetId("a"), Now_);
  Now_ += 1s;
  Suspects_.recordTargetLoss(7, TargetId("a"), Now_);
  Suspects_.recordTargetLoss(7, TargetId("b"), Now_);
  CHECK(isSuspect(7));
  CHECK(Suspects_.evidence(Now_).size() <= CrashSuspects::MaxFingerprints + 1);
}
