#include "placement/TargetPool.h"

#include <map>
#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::base::Duration;
using lychee::base::HostId;
using lychee::base::Random;
using lychee::base::TargetId;
using lychee::base::TimePoint;
using lychee::placement::InFlight;
using lychee::placement::Outcome;
using lychee::placement::PoolState;
using lychee::placement::TargetChoice;
using lychee::placement::TargetHealth;
using lychee::placement::TargetIndex;
using lychee::placement::TargetPool;
using lychee::placement::TargetSpec;
using namespace std::chrono_literals;

namespace {

std::vector<TargetSpec> targets(int Count, std::uint32_t Slots = 3) {
  std::vector<TargetSpec> All;
  All.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    All.push_back({TargetId("target-" + std::to_string(Index)), Slots, false});
  return All;
}

} // namespace

TEST_GROUP(TargetPool) {
  TargetPool Pool_{HostId("self")};
  Random Numbers_{7};
  TimePoint Now_ = TimePoint(100s);

  TargetChoice choose() { return Pool_.choose({}, Now_, Numbers_); }

  /// Sends \p Count requests, each of which ends at once.
  void send(TargetIndex Target, Outcome Result, int Count = 1,
            Duration Latency = 20ms) {
    for (int Index = 0; Index < Count; ++Index) {
      Pool_.recordStart(Target);
      Pool_.recordFinish(Target, Result, Latency, Now_);
    }
  }

  std::set<TargetIndex> chosenIn(int Draws) {
    std::set<TargetIndex> Chosen;
    for (int Index = 0; Index < Draws; ++Index)
      if (const auto Target = choose().Target_)
        Chosen.insert(*Target);
    return Chosen;
  }
};

TEST(TargetPool, anEmptyPoolReportsNoTarget) {
  const TargetChoice Choice = choose();
  CHECK_FALSE(Choice.Target_.has_value());
  STRCMP_EQUAL("no-target", std::string(Choice.Reason_).c_str());
}

TEST(TargetPool, noTargetGetsMoreThanItsSlots) {
  Pool_.setTargets(targets(5), Now_);
  for (int Index = 0; Index < 15; ++Index) {
    const TargetChoice Choice = choose();
    CHECK(Choice.Target_.has_value());
    Pool_.recordStart(Choice.Target_.value_or(0));
  }
  STRCMP_EQUAL("all-full", std::string(choose().Reason_).c_str());
  for (TargetIndex Target = 0; Target < 5; ++Target)
    DOUBLES_EQUAL(3, Pool_.load(Target, Now_), 0.01);
}

TEST(TargetPool, aLeavingTargetGetsNoNewRequestsAndFinishesItsRunningOnes) {
  auto Declared = targets(3);
  Pool_.setTargets(Declared, Now_);
  Pool_.recordStart(0);
  Declared[0].Leaving_ = true;
  Pool_.setTargets(Declared, Now_);
  CHECK_FALSE(chosenIn(200).contains(0));
  Pool_.recordFinish(0, Outcome::Success, 20ms, Now_);
  DOUBLES_EQUAL(0, Pool_.load(0, Now_), 0.01);
}

TEST(TargetPool, aRetryNeverGoesToTheExcludedTarget) {
  Pool_.setTargets(targets(2), Now_);
  const TargetIndex Tried = 1;
  for (int Index = 0; Index < 100; ++Index)
    LONGS_EQUAL(
        0, Pool_.choose({&Tried, 1}, Now_, Numbers_).Target_.value_or(Tried));
}

// Every connection to a target fails. Without ejection a part of all requests
// would fail there. After three failures it gets no requests for a while, then
// one slot's worth, and is ejected again at the first failure, for twice as
// long.
TEST(TargetPool, anUnreachableTargetIsEjectedAndReturnsWithOneSlot) {
  Pool_.setTargets(targets(6), Now_);
  send(2, Outcome::Unreachable, 3);
  CHECK(Pool_.isEjected(2, Now_));
  CHECK_FALSE(chosenIn(200).contains(2));
  Now_ += TargetHealth::BaseEjectionTime;
  CHECK(chosenIn(200).contains(2));
  Pool_.recordStart(2);
  CHECK_FALSE(chosenIn(200).contains(2));
  Pool_.recordFinish(2, Outcome::Unreachable, 1ms, Now_);
  Now_ += TargetHealth::BaseEjectionTime;
  CHECK(Pool_.isEjected(2, Now_));
}

TEST(TargetPool, aSlowTargetIsEjectedAsAnOutlier) {
  Pool_.setTargets(targets(6), Now_);
  for (TargetIndex Target = 0; Target < 6; ++Target)
    send(Target, Outcome::Success, 10, 20ms);
  Pool_.tick(Now_);
  send(4, Outcome::Success, 20, 500ms);
  CHECK(Pool_.isEjected(4, Now_));
}

// All targets fail at once, as when their shared database fails. Ejecting one
// after another would put the whole load on the last ones. At most three in ten
// are ejected; then the measurement is doubted, requests are spread over all
// targets, and the pool's state says so.
TEST(TargetPool, whenTooManyTargetsLookBadTheMeasurementIsDoubted) {
  Pool_.setTargets(targets(10), Now_);
  for (TargetIndex Target = 0; Target < 10; ++Target)
    send(Target, Outcome::Faulty, 30);
  int Ejected = 0;
  for (TargetIndex Target = 0; Target < 10; ++Target)
    Ejected += Pool_.isEjected(Target, Now_) ? 1 : 0;
  LONGS_EQUAL(3, Ejected);
  LONGS_EQUAL(10, chosenIn(500).size());
  CHECK(PoolState::Trust::Suspect == Pool_.state(Now_).Trust_);
}

// Losing an availability zone takes half of a region's targets, more than may
// be ejected for slow or faulty responses. Failed connections are not
// ambiguous: the remaining half gets all requests, and no caller waits for a
// connection that fails.
TEST(TargetPool, allTargetsOfALostZoneAreEjected) {
  Pool_.setTargets(targets(10), Now_);
  for (TargetIndex Target = 0; Target < 5; ++Target) {
    send(Target, Outcome::Unreachable, 3);
    send(9, Outcome::Success);
  }
  for (const TargetIndex Target : chosenIn(500))
    CHECK(Target >= 5);
  LONGS_EQUAL(5, Pool_.state(Now_).UsableTargets_);
}

// No target of a region answers, so every send would only wait for a
// connection. The pool reports that it is lost, lets one probe through every
// half second, and recovers with one answer.
TEST(TargetPool, aLostRegionGetsOnlyProbes) {
  Pool_.setTargets(targets(10), Now_);
  for (TargetIndex Target = 0; Target < 10; ++Target)
    send(Target, Outcome::Unreachable, 3);
  Now_ += 1s;
  CHECK(PoolState::Trust::Lost == Pool_.state(Now_).Trust_);
  STRCMP_EQUAL("probe", std::string(choose().Reason_).c_str());
  STRCMP_EQUAL("all-lost", std::string(choose().Reason_).c_str());
  Now_ += 500ms;
  const TargetChoice Probe = choose();
  CHECK(Probe.Target_.has_value());
  send(Probe.Target_.value_or(0), Outcome::Success);
  CHECK(PoolState::Trust::Lost != Pool_.state(Now_).Trust_);
}

// A target sheds while its report says that it is idle. A pool that believed
// the report would draw all hosts to it. The shed takes precedence: the target
// is assumed to be full for about the duration of one request.
TEST(TargetPool, aShedTakesPrecedenceOverAReportOfAnIdleTarget) {
  Pool_.setTargets(targets(4), Now_);
  send(1, Outcome::Shed);
  Pool_.recordReport(1, 0, Now_);
  CHECK_FALSE(chosenIn(200).contains(1));
  Now_ += 30ms;
  CHECK(chosenIn(200).contains(1));
}

// The reports of one target stop. Assumed to be empty it would be flooded,
// assumed to be full it would never be tried again: its estimate decays to the
// mean of the pool.
TEST(TargetPool, withoutReportsTheEstimateDecaysToThePoolsMean) {
  Pool_.setTargets(targets(4, 8), Now_);
  const std::vector<HostId> Peers = {HostId("a"), HostId("b")};
  Pool_.setPeers(Peers);
  for (const HostId &Peer : Peers)
    Pool_.recordPeerLoads(
        Peer, std::vector<InFlight>{{0, 1}, {1, 1}, {2, 1}, {3, 1}}, Now_);
  Pool_.recordReport(0, 8, Now_);
  CHECK(Pool_.load(0, Now_) > 3);
  Now_ += 20s;
  DOUBLES_EQUAL(2, Pool_.load(0, Now_), 0.6);
}

TEST(TargetPool, aSilentPeerIsAssumedToCarryTheMeanLoad) {
  Pool_.setTargets(targets(4, 8), Now_);
  const std::vector<HostId> Peers = {HostId("a"), HostId("b")};
  Pool_.setPeers(Peers);
  for (const HostId &Peer : Peers)
    Pool_.recordPeerLoads(
        Peer, std::vector<InFlight>{{0, 2}, {1, 2}, {2, 2}, {3, 2}}, Now_);
  for (TargetIndex Target = 0; Target < 4; ++Target)
    for (int Index = 0; Index < 2; ++Index)
      Pool_.recordStart(Target);
  Now_ += 2s;
  Pool_.recordPeerLoads(
      Peers[0], std::vector<InFlight>{{0, 2}, {1, 2}, {2, 2}, {3, 2}}, Now_);
  Pool_.tick(Now_);
  for (TargetIndex Target = 0; Target < 4; ++Target)
    DOUBLES_EQUAL(6, Pool_.load(Target, Now_), 0.2);
}

// A new target has cold caches, and each of many hosts has one slot of it. If
// each host could use its slot at once, because one slot is the minimum, the
// target would be full in its first second. Its slots open gradually over all
// hosts.
TEST(TargetPool, aSlowStartLimitsTheSumOverAllHosts) {
  constexpr std::uint32_t Hosts = 40;
  std::uint32_t OpenAtFirst = 0;
  std::uint32_t OpenLater = 0;
  for (std::uint32_t Host = 0; Host < Hosts; ++Host) {
    TargetPool Fresh(HostId("host-" + std::to_string(Host)));
    Fresh.setTargets(targets(1), Now_);
    Fresh.setTargets(targets(2), Now_);
    Fresh.setSlotShare(0, 1);
    Fresh.setSlotShare(1, 1);
    OpenAtFirst += Fresh.freeSlots(1, Now_);
    OpenLater += Fresh.freeSlots(1, Now_ + TargetHealth::SlowStartWindow);
  }
  CHECK(OpenAtFirst > 0);
  CHECK(OpenAtFirst <= Hosts / 2);
  LONGS_EQUAL(Hosts, OpenLater);
}

// Guards against a probe or a doubted measurement that uses a target in the
// rest that it asked for.
TEST(TargetPool, aRestingTargetGetsNothingWhateverElseIsKnown) {
  Pool_.setTargets(targets(3), Now_);
  Pool_.recordRest(0, Now_ + 60s);
  Pool_.recordRest(0, Now_ + 1s);
  LONGS_EQUAL(0, Pool_.freeSlots(0, Now_));
  LONGS_EQUAL(2, Pool_.state(Now_).UsableTargets_);
  CHECK_FALSE(Pool_.firstRestEnd(Now_).has_value());
  CHECK_FALSE(chosenIn(200).contains(0));
  // The pool is lost, and only probes are sent.
  for (const TargetIndex Target : {1U, 2U})
    send(Target, Outcome::Unreachable, 6);
  for (int Count = 0; Count < 40; ++Count) {
    Now_ += 500ms;
    CHECK(choose().Target_ != TargetIndex{0});
  }
  for (const TargetIndex Target : {1U, 2U})
    Pool_.recordRest(Target, Now_ + 3s);
  CHECK(Pool_.firstRestEnd(Now_) == Duration(3s));
}
