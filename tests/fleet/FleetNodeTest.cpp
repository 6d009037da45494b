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

  void writeAndWait(std::uint64_t Version, const std::string &Document) {
    CHECK(Fleet_.write(Fleet_.host(3), Version, Document).Status_ ==
          store::PutStatus::Written);
    CHECK(appliedEverywhere(Version));
  }

  bool appliedEverywhere(std::uint64_t Version) {
    return Fleet_.waitForAll([Version](const TestHost &Host) {
      return Host.Node_->appliedSettingsVersion() == Version;
    });
  }

  void setStoreDown(bool Down) {
    Faults_.Down_ = Down;
    Fleet_.store().setFaults(Faults_);
  }
};

TEST(FleetNode, hostsOfTwoZonesAgreeAndHoldTheirLeases) {
  startTwoZones();
  const std::uint64_t Epoch = Fleet_.host(0).Node_->directory().Epoch_;
  CHECK(Fleet_.waitForAll([Epoch](const TestHost &Host) {
    return Host.Node_->directory().Epoch_ == Epoch;
  }));
  writeAndWait(1, "one");
  writeAndWait(2, "two");
  CHECK(Fleet_.waitForAll(
      [](const TestHost &Host) { return Host.isFresh(seconds(5)); }));
}

// A host is killed. Customers get less until the survivors share out what it
// held, which must wait until its lease has expired. Then the epoch rises and
// the directory omits the host.
TEST(FleetNode, killedHostIsRemovedFromTheDirectoryAndTheEpochRises) {
  startTwoZones();
  const std::uint64_t Epoch = Fleet_.host(0).Node_->directory().Epoch_;
  Fleet_.host(3).kill();
  CHECK(Fleet_.settle(3));
  CHECK(Fleet_.host(0).Node_->directory().Epoch_ > Epoch);
  CHECK_FALSE(Fleet_.host(3).mayAct());
}

TEST(FleetNode, standbyBecomesRelayWhenTheRelayLeaves) {
  startTwoZones();
  TestHost &Relay = Fleet_.host(Fleet_.host(0).Node_->isRelay() ? 0 : 1);
  Fleet_.io().run(Relay.Node_->leave());
  Relay.kill();
  CHECK_FALSE(Relay.mayAct());
  CHECK(Fleet_.settle(3));
  CHECK(Fleet_.host(Fleet_.host(0).Running_ ? 0 : 1).Node_->isRelay());
}

// An operator withdraws a key while the relay of a zone dies. The zone must
// still receive the change, since the standby watches the store as well.
TEST(FleetNode, changeReachesAllWhileARelayIsLost) {
  startTwoZones();
  writeAndWait(1, "given");
  Fleet_.host(Fleet_.host(0).Node_->isRelay() ? 0 : 1).kill();
  writeAndWait(2, "withdrawn");
}

// The store goes down right after a write, before any relay has read the
// change. The host that wrote it has it, so hints and heartbeats distribute it.
TEST(FleetNode, changeReachesAllThoughTheStoreGoesDownRightAfterTheWrite) {
  startTwoZones();
  writeAndWait(1, "given");
  CHECK(Fleet_.write(Fleet_.host(3), 2, "withdrawn").Status_ ==
        store::PutStatus::Written);
  setStoreDown(true);
  CHECK(appliedEverywhere(2));
}

// The store is down for longer than a lease, so no record can be renewed.
// Pledges keep the leases valid, and the freshness vote of all hosts keeps the
// settings fresh. Then one host is cut off from the others, and neither side
// can confirm freshness any more.
TEST(FleetNode, leasesAndSettingsSurviveAStoreOutageUntilAHostIsCutOff) {
  startTwoZones();
  writeAndWait(1, "one");
  const std::uint64_t Written = Fleet_.store().counts()["put"];
  setStoreDown(true);
  const auto End = lychee::base::SystemClock::monotonicNow() +
                   2 * lychee::tests::shortLeaseTiming().Ttl_;
  CHECK(
      waitFor([&] { return lychee::base::SystemClock::monotonicNow() > End; }));
  CHECK(Fleet_.waitForAll([](const TestHost &Host) {
    return Host.mayAct() && Host.isFresh(seconds(2));
  }));
  UNSIGNED_LONGLONGS_EQUAL(Written, Fleet_.store().counts()["put"]);
  Fleet_.host(0).kill();
  CHECK(Fleet_.waitForAll(
      [](const TestHost &Host) { return !Host.isFresh(milliseconds(1500)); }));
}

// A host starts while the store is down. It gets the settings from its seed
// peer, but neither a lease nor membership, since no record can be written.
TEST(FleetNode, hostStartsFromAPeerWhileTheStoreIsDown) {
  startTwoZones();
  writeAndWait(1, "one");
  setStoreDown(true);
  TestHost &NewHost = Fleet_.add("h5", "z1");
  CHECK(waitFor([&] { return NewHost.Node_->appliedSettingsVersion() == 1; }));
  CHECK_FALSE(NewHost.mayAct());
  setStoreDown(false);
  CHECK(Fleet_.settle(5));
}

// The store works, but one relay cannot reach it and renews no leases. The
// standby detects this and takes over, and the fleet settles with all four
// hosts.
TEST(FleetNode, standbyReplacesARelayThatIsCutOffFromTheStore) {
  startTwoZones();
  const std::size_t Relay = Fleet_.host(0).Node_->isRelay() ? 0 : 1;
  Faults_.Cut_ = {Relay == 0 ? "h1" : "h2"};
  Fleet_.store().setFaults(Faults_);
  CHECK(waitFor([&] { return Fleet_.host(1 - Relay).Node_->isRelay(); }));
  CHECK(waitFor([&] { return !Fleet_.host(Relay).Node_->isRelay(); }));
  CHECK(Fleet_.settle(4));
}

// Every call to the store takes 100 ms longer and its watches are stale or
// silent. Changes still arrive through the listing.
TEST(FleetNode, changesArriveDespiteASlowStoreWithStaleAndSilentWatches) {
  startTwoZones();
  writeAndWait(1, "one");
  Faults_.SlowMilliseconds_ = 100;
  Faults_.StaleWatch_ = true;
  Faults_.SilentWatch_ = true;
  Fleet_.store().setFaults(Faults_);
  writeAndWait(2, "two");
  writeAndWait(3, "three");
}
