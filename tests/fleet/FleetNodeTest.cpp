#include "TestFleet.h"

#include "CppUTest/TestHarness.h"

namespace store = lychee::store;
namespace standins = lychee::standins;
using lychee::tests::TestFleet;
using lychee::tests::TestHost;
using lychee::tests::waitFor;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(FleetNode) {
  TestFleet Fleet_;
  standins::StoreFaults Faults_;

  void startTwoZones() {
    Fleet_.add("h1", "z1");
    Fleet_.add("h2", "z1");
    Fleet_.add("h3", "z2");
    Fleet_.add("h4", "z2");
    CHECK(Fleet_.settle(4));
  }

  void writeEverywhere(std::uint64_t Version, const std::string &Document) {
    CHECK(Fleet_.write(Fleet_.host(3), Version, Document).Status_ ==
          store::PutStatus::Written);
    CHECK(inForceEverywhere(Version));
  }

  bool inForceEverywhere(std::uint64_t Version) {
    return Fleet_.waitForEach([Version](const TestHost &Each) {
      return Each.Node_->settingsInForce() == Version;
    });
  }

  void setDown(bool Down) {
    Faults_.Down_ = Down;
    Fleet_.store().setFaults(Faults_);
  }
};

TEST(FleetNode, hostsOfTwoZonesAgreeAndHoldTheirLeases) {
  startTwoZones();
  const std::uint64_t Epoch = Fleet_.host(0).Node_->directory().Epoch_;
  CHECK(Fleet_.waitForEach([Epoch](const TestHost &Each) {
    return Each.Node_->directory().Epoch_ == Epoch;
  }));
  writeEverywhere(1, "one");
  writeEverywhere(2, "two");
  CHECK(Fleet_.waitForEach(
      [](const TestHost &Each) { return Each.isFresh(seconds(5)); }));
}

// A host is killed. Its callers' customers get less until the survivors share
// out what it held, which must wait until its lease is over; then the epoch
// rises and the directory is without it.
TEST(FleetNode, killedHostLeavesTheDirectoryAndTheEpochRises) {
  startTwoZones();
  const std::uint64_t Epoch = Fleet_.host(0).Node_->directory().Epoch_;
  Fleet_.host(3).kill();
  CHECK(Fleet_.settle(3));
  CHECK(Fleet_.host(0).Node_->directory().Epoch_ > Epoch);
  CHECK_FALSE(Fleet_.host(3).mayAct());
}

TEST(FleetNode, relayThatSaysGoodbyeIsFollowedByTheStandby) {
  startTwoZones();
  TestHost &Relay = Fleet_.host(Fleet_.host(0).Node_->isRelay() ? 0 : 1);
  Fleet_.io().run(Relay.Node_->leave());
  Relay.kill();
  CHECK_FALSE(Relay.mayAct());
  CHECK(Fleet_.settle(3));
  CHECK(Fleet_.host(Fleet_.host(0).Alive_ ? 0 : 1).Node_->isRelay());
}

// An operator withdraws a key, and the relay of a zone dies at that moment. Its
// zone must still hear of the change: the standby watches the store as well.
TEST(FleetNode, changeReachesAllWhileARelayIsLost) {
  startTwoZones();
  writeEverywhere(1, "given");
  Fleet_.host(Fleet_.host(0).Node_->isRelay() ? 0 : 1).kill();
  writeEverywhere(2, "withdrawn");
}

// A change is written, and the store goes down before any relay has seen it.
// The host that wrote it holds it, so hints and heartbeats bring it to all.
TEST(FleetNode, changeReachesAllThoughTheStoreGoesDownRightAfterTheWrite) {
  startTwoZones();
  writeEverywhere(1, "given");
  CHECK(Fleet_.write(Fleet_.host(3), 2, "withdrawn").Status_ ==
        store::PutStatus::Written);
  setDown(true);
  CHECK(inForceEverywhere(2));
}

// The store is down for longer than a lease. No record can be renewed; pledges
// keep the leases, and all hosts' word keeps the settings fresh. Then one host
// is cut off from the others: neither it nor they can know any more.
TEST(FleetNode, storeOutageIsBridgedUntilAHostIsCutOff) {
  startTwoZones();
  writeEverywhere(1, "one");
  const std::uint64_t Written = Fleet_.store().counts()["put"];
  setDown(true);
  const auto Ending = lychee::base::SystemClock::monotonicNow() +
                      2 * lychee::tests::shortTerms().Ttl_;
  CHECK(waitFor(
      [&] { return lychee::base::SystemClock::monotonicNow() > Ending; }));
  CHECK(Fleet_.waitForEach([](const TestHost &Each) {
    return Each.mayAct() && Each.isFresh(seconds(2));
  }));
  UNSIGNED_LONGLONGS_EQUAL(Written, Fleet_.store().counts()["put"]);
  Fleet_.host(0).kill();
  CHECK(Fleet_.waitForEach(
      [](const TestHost &Each) { return !Each.isFresh(milliseconds(1500)); }));
}

// A host starts while the store is down. It gets the settings from its seed,
// but neither a lease nor a place in the epoch: nobody can write them down.
TEST(FleetNode, hostStartsFromAPeerWhileTheStoreIsDown) {
  startTwoZones();
  writeEverywhere(1, "one");
  setDown(true);
  TestHost &Late = Fleet_.add("h5", "z1");
  CHECK(waitFor([&] { return Late.Node_->settingsInForce() == 1; }));
  CHECK_FALSE(Late.mayAct());
  setDown(false);
  CHECK(Fleet_.settle(5));
}

// The store works, but one relay cannot reach it. Its leases are not renewed;
// the standby sees that, takes over, and no lease ends in between.
TEST(FleetNode, relayCutOffFromTheStoreIsTakenOver) {
  startTwoZones();
  const std::size_t Relay = Fleet_.host(0).Node_->isRelay() ? 0 : 1;
  Faults_.Cut_ = {Relay == 0 ? "h1" : "h2"};
  Fleet_.store().setFaults(Faults_);
  CHECK(waitFor([&] { return Fleet_.host(1 - Relay).Node_->isRelay(); }));
  CHECK(waitFor([&] { return !Fleet_.host(Relay).Node_->isRelay(); }));
  CHECK(Fleet_.settle(4));
}

// The store takes 300 ms a call and its watches lie or say nothing. Changes
// still come, by the listing.
TEST(FleetNode, slowStoreWithStaleAndSilentWatchesStillSpreadsChanges) {
  startTwoZones();
  writeEverywhere(1, "one");
  Faults_.SlowMilliseconds_ = 100;
  Faults_.StaleWatch_ = true;
  Faults_.SilentWatch_ = true;
  Fleet_.store().setFaults(Faults_);
  writeEverywhere(2, "two");
  writeEverywhere(3, "three");
}
