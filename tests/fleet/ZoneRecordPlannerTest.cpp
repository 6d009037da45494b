#include "fleet/ZoneRecordPlanner.h"
#include "fleet/LeaseGuard.h"
#include "fleet/LeaseHolder.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ZoneRecordPlanner) {
  const fleet::LeaseTiming Timing_;
  base::TimePoint Now_{seconds(1000)};
  std::uint64_t Version_ = 0;

  static fleet::Member member(const char *Name, std::uint64_t Sequence = 1) {
    fleet::Member Result;
    Result.Host_ = base::HostId(Name);
    Result.Incarnation_ = 1;
    Result.Sequence_ = Sequence;
    Result.KnownGeneration_ = 1000;
    return Result;
  }

  fleet::ZoneRecordPlanner planner(const char *Name) const {
    return {Timing_, base::ZoneId("z1"), member(Name), Now_};
  }

  /// Writes the record that \p Planner plans. \returns the plan's reason;
  /// "none" without a plan.
  std::string_view write(fleet::ZoneRecordPlanner & Planner) {
    const auto Plan = Planner.plan(Now_);
    if (!Plan)
      return "none";
    UNSIGNED_LONGLONGS_EQUAL(Version_, Plan->ExpectedVersion_);
    Planner.beginWrite(*Plan);
    Planner.observe(Plan->Next_, ++Version_, Now_);
    return Plan->Reason_;
  }

  /// The planner of h1, which is the relay of h1 and h2.
  fleet::ZoneRecordPlanner relayOfTwo() {
    fleet::ZoneRecordPlanner Relay = planner("h1");
    write(Relay);
    Relay.receiveHeartbeat(member("h2"), Now_);
    write(Relay);
    return Relay;
  }
};

TEST(ZoneRecordPlanner, firstHostOfAZoneCreatesItsRecordAndAdmitsTheNext) {
  fleet::ZoneRecordPlanner Relay = planner("h1");
  STRCMP_EQUAL("join", std::string(write(Relay)).c_str());
  CHECK(Relay.isRelay());
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  Relay.receiveHeartbeat(member("h2"), Now_);
  STRCMP_EQUAL("change", std::string(write(Relay)).c_str());
  UNSIGNED_LONGS_EQUAL(2, Relay.record().Members_.size());
  UNSIGNED_LONGLONGS_EQUAL(2, Relay.record().Members_[1].AdmissionGeneration_);
}

TEST(ZoneRecordPlanner, renewalsContainReceivedSequencesAndKeepTheGeneration) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  const std::uint64_t Generation = Relay.record().Generation_;
  Relay.receiveHeartbeat(member("h2", 9), Now_);
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  Now_ += Timing_.RenewalInterval_;
  STRCMP_EQUAL("renew", std::string(write(Relay)).c_str());
  UNSIGNED_LONGLONGS_EQUAL(9, Relay.record().Members_[1].Sequence_);
  UNSIGNED_LONGLONGS_EQUAL(Generation, Relay.record().Generation_);
}

// A host dies without leaving. Its lease may be in use for its whole duration
// by the slowest clock: the relay keeps it listed until then, and removes it
// right after.
TEST(ZoneRecordPlanner, silentHostIsRemovedOnlyAfterItsLeaseHasExpired) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  const base::TimePoint Renewed = Now_;
  while (Now_ - Renewed < Timing_.observerDuration(Timing_.Ttl_)) {
    write(Relay);
    CHECK(Relay.record().find(base::HostId("h2")) != nullptr);
    Now_ += milliseconds(500);
  }
  write(Relay);
  CHECK(Relay.record().find(base::HostId("h2")) == nullptr);
  // Earlier heartbeats do not admit it again.
  Now_ += Timing_.RenewalInterval_;
  write(Relay);
  UNSIGNED_LONGS_EQUAL(1, Relay.record().Members_.size());
}

// A host is killed right after another one joined. The new host may remove it
// only if the record shows that the killed host knew of it. Hence a member's
// acknowledgement of a new host is written at once, not with the next renewal.
TEST(ZoneRecordPlanner, acknowledgementOfANewMemberIsWrittenAtOnce) {
  fleet::ZoneRecordPlanner Relay = planner("h1");
  write(Relay);
  fleet::Member NewHost = member("h2");
  NewHost.KnownGeneration_ = 0;
  Relay.receiveHeartbeat(NewHost, Now_);
  write(Relay);
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  NewHost.KnownGeneration_ = Relay.record().Generation_;
  ++NewHost.Sequence_;
  Relay.receiveHeartbeat(NewHost, Now_);
  STRCMP_EQUAL("acknowledge", std::string(write(Relay)).c_str());
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
}

TEST(ZoneRecordPlanner, leavingHostIsRemovedAtOnce) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  Relay.handleLeave(base::HostId("h2"));
  STRCMP_EQUAL("change", std::string(write(Relay)).c_str());
  UNSIGNED_LONGS_EQUAL(1, Relay.record().Members_.size());
}

// The relay dies, and nobody renews the leases of the zone. The standby takes
// over as relay well within the duration of a lease.
TEST(ZoneRecordPlanner, standbyTakesOverFromASilentRelayBeforeLeasesExpire) {
  const fleet::ZoneRecordPlanner Relay = relayOfTwo();
  fleet::ZoneRecordPlanner Standby = planner("h2");
  Standby.observe(Relay.record(), Relay.version(), Now_);
  CHECK(Standby.isStandby());
  STRCMP_EQUAL("none", std::string(write(Standby)).c_str());
  Now_ += Timing_.RelayTimeout_;
  STRCMP_EQUAL("takeover", std::string(write(Standby)).c_str());
  CHECK(Standby.isRelay());
  CHECK(Standby.record().find(base::HostId("h1")) != nullptr);
  CHECK(Timing_.RelayTimeout_ + 2 * Timing_.RenewalInterval_ < Timing_.Ttl_);
}

// A relay resumes after a pause in which another host has taken over. Its write
// expects the version it knew, so the store refuses it, and it learns of the
// new relay.
TEST(ZoneRecordPlanner, pausedRelayIsFencedByTheVersion) {
  fleet::ZoneRecordPlanner Paused = relayOfTwo();
  fleet::ZoneRecordPlanner Standby = planner("h2");
  Standby.observe(Paused.record(), Paused.version(), Now_);
  Now_ += Timing_.RelayTimeout_;
  const auto LatePlan = Paused.plan(Now_);
  write(Standby);
  CHECK(LatePlan.has_value());
  CHECK(LatePlan && LatePlan->ExpectedVersion_ < Version_);
  Paused.observe(Standby.record(), Version_, Now_);
  CHECK_FALSE(Paused.isRelay());
}

// A new host finds a record of hosts that do not answer it. These may be cut
// off from it and from the store, and hold pledges from one another. So the new
// host joins, but removes them only when the platform reports them as gone.
TEST(ZoneRecordPlanner, unknownSilentHostsAreRemovedOnlyOnThePlatformsReport) {
  fleet::ZoneRecordPlanner OldHost = planner("h1");
  write(OldHost);
  fleet::ZoneRecordPlanner NewHost = planner("h9");
  fleet::ZoneRecord Record = OldHost.record();
  Record.Members_[0].KnownGeneration_ = 1;
  NewHost.observe(Record, Version_, Now_);
  Now_ += 2 * Timing_.RenewalInterval_;
  STRCMP_EQUAL("join", std::string(write(NewHost)).c_str());
  Now_ += std::chrono::hours(1);
  STRCMP_EQUAL("takeover", std::string(write(NewHost)).c_str());
  CHECK(NewHost.record().find(base::HostId("h1")) != nullptr);
  NewHost.handlePlatformRemoval(base::HostId("h1"));
  write(NewHost);
  CHECK(NewHost.record().find(base::HostId("h1")) == nullptr);
}

TEST_GROUP(LeaseGuard) {
  fleet::LeaseGuard Guard_;
  base::TimePoint Now_{seconds(1000)};
};

// A host with a valid lease is stopped for a minute and resumes in the middle
// of an action that it had checked before. A check with a fresh clock reading
// must refuse, and the new tenure shows that its shares may belong to others.
TEST(LeaseGuard, stoppedHostFindsItsLeaseExpiredAndGetsANewTenure) {
  Guard_.enterEpoch(3);
  Guard_.extend(Now_ + seconds(15), Now_);
  const std::uint64_t Tenure = Guard_.tenure();
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  Now_ += seconds(60);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Expired);
  Guard_.extend(Now_ + seconds(15), Now_);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  CHECK(Guard_.tenure() != Tenure);
}

TEST(LeaseGuard, refusesOtherEpochsAndARevokedLease) {
  Guard_.enterEpoch(3);
  Guard_.extend(Now_ + seconds(15), Now_);
  Guard_.enterEpoch(2);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  CHECK(Guard_.check(Now_, 2) == fleet::LeaseState::OtherEpoch);
  Guard_.revoke();
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Expired);
}

TEST(LeaseGuard, extensionInThePastIsIgnored) {
  Guard_.extend(Now_ - seconds(1), Now_);
  CHECK(Guard_.check(Now_, 0) == fleet::LeaseState::Expired);
}
