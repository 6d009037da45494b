#include "fleet/LeaseGuard.h"
#include "fleet/LeaseHolder.h"
#include "fleet/ZoneRecordPlanner.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace fleet = lychee::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ZoneRecordPlanner) {
  const fleet::LeaseTiming Terms_;
  base::TimePoint Now_{seconds(1000)};
  std::uint64_t Version_ = 0;

  static fleet::Member member(const char *Name, std::uint64_t Sequence = 1) {
    fleet::Member Made;
    Made.Host_ = base::HostId(Name);
    Made.Incarnation_ = 1;
    Made.Sequence_ = Sequence;
    Made.KnownGeneration_ = 1000;
    return Made;
  }

  fleet::ZoneRecordPlanner keeper(const char *Name) const {
    return {Terms_, base::ZoneId("z1"), member(Name), Now_};
  }

  /// Writes what \p Keeper plans. \returns the plan's reason; none for no plan.
  std::string_view write(fleet::ZoneRecordPlanner & Keeper) {
    const auto Plan = Keeper.plan(Now_);
    if (!Plan)
      return "none";
    UNSIGNED_LONGLONGS_EQUAL(Version_, Plan->Expected_);
    Keeper.begin(*Plan);
    Keeper.observe(Plan->Next_, ++Version_, Now_);
    return Plan->Reason_;
  }

  /// A keeper for h1, relay of h1 and h2.
  fleet::ZoneRecordPlanner relayOfTwo() {
    fleet::ZoneRecordPlanner Relay = keeper("h1");
    write(Relay);
    Relay.hear(member("h2"), Now_);
    write(Relay);
    return Relay;
  }
};

TEST(ZoneRecordPlanner, firstHostOfAZoneMakesItsRecordAndAdmitsTheNext) {
  fleet::ZoneRecordPlanner Relay = keeper("h1");
  STRCMP_EQUAL("join", std::string(write(Relay)).c_str());
  CHECK(Relay.isRelay());
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  Relay.hear(member("h2"), Now_);
  STRCMP_EQUAL("change", std::string(write(Relay)).c_str());
  UNSIGNED_LONGS_EQUAL(2, Relay.record().Members_.size());
  UNSIGNED_LONGLONGS_EQUAL(2, Relay.record().Members_[1].AdmissionGeneration_);
}

TEST(ZoneRecordPlanner, renewalsCarryHeardSequencesAndKeepTheGeneration) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  const std::uint64_t Generation = Relay.record().Generation_;
  Relay.hear(member("h2", 9), Now_);
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  Now_ += Terms_.RenewalInterval_;
  STRCMP_EQUAL("renew", std::string(write(Relay)).c_str());
  UNSIGNED_LONGLONGS_EQUAL(9, Relay.record().Members_[1].Sequence_);
  UNSIGNED_LONGLONGS_EQUAL(Generation, Relay.record().Generation_);
}

// A host dies without a word. Its lease may be in use up to its length by the
// slowest clock: the relay keeps it until then, and removes it right after.
TEST(ZoneRecordPlanner, silentHostIsRemovedOnlyAfterItsLease) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  const base::TimePoint Renewed = Now_;
  while (Now_ - Renewed < Terms_.lengthened(Terms_.Ttl_)) {
    write(Relay);
    CHECK(Relay.record().find(base::HostId("h2")) != nullptr);
    Now_ += milliseconds(500);
  }
  write(Relay);
  CHECK(Relay.record().find(base::HostId("h2")) == nullptr);
  // What was heard of it before does not bring it back.
  Now_ += Terms_.RenewalInterval_;
  write(Relay);
  UNSIGNED_LONGS_EQUAL(1, Relay.record().Members_.size());
}

// A host is killed right after its neighbour came. The neighbour may remove it
// only if the record says that the dead one knew of it, so a member's word that
// it knows is written at once, not with the next renewal.
TEST(ZoneRecordPlanner, wordThatAMemberKnowsANewcomerIsWrittenAtOnce) {
  fleet::ZoneRecordPlanner Relay = keeper("h1");
  write(Relay);
  fleet::Member Fresh = member("h2");
  Fresh.KnownGeneration_ = 0;
  Relay.hear(Fresh, Now_);
  write(Relay);
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
  Fresh.KnownGeneration_ = Relay.record().Generation_;
  ++Fresh.Sequence_;
  Relay.hear(Fresh, Now_);
  STRCMP_EQUAL("acknowledge", std::string(write(Relay)).c_str());
  STRCMP_EQUAL("none", std::string(write(Relay)).c_str());
}

TEST(ZoneRecordPlanner, hostThatSaysGoodbyeIsRemovedAtOnce) {
  fleet::ZoneRecordPlanner Relay = relayOfTwo();
  Relay.leave(base::HostId("h2"));
  STRCMP_EQUAL("change", std::string(write(Relay)).c_str());
  UNSIGNED_LONGS_EQUAL(1, Relay.record().Members_.size());
}

// The relay dies. Nobody renews the zone's leases until the standby has seen no
// renewal for a while and makes itself the relay, well within a lease's length.
TEST(ZoneRecordPlanner, standbyTakesOverFromASilentRelayBeforeLeasesEnd) {
  const fleet::ZoneRecordPlanner Relay = relayOfTwo();
  fleet::ZoneRecordPlanner Standby = keeper("h2");
  Standby.observe(Relay.record(), Relay.version(), Now_);
  CHECK(Standby.isStandby());
  STRCMP_EQUAL("none", std::string(write(Standby)).c_str());
  Now_ += Terms_.RelayTimeout_;
  STRCMP_EQUAL("takeover", std::string(write(Standby)).c_str());
  CHECK(Standby.isRelay());
  CHECK(Standby.record().find(base::HostId("h1")) != nullptr);
  CHECK(Terms_.RelayTimeout_ + 2 * Terms_.RenewalInterval_ < Terms_.Ttl_);
}

// A relay is paused and wakes up after another has taken over: its write names
// the version it knew, so the store refuses it, and it sees who is relay now.
TEST(ZoneRecordPlanner, pausedRelayIsFencedByTheVersion) {
  fleet::ZoneRecordPlanner Paused = relayOfTwo();
  fleet::ZoneRecordPlanner Standby = keeper("h2");
  Standby.observe(Paused.record(), Paused.version(), Now_);
  Now_ += Terms_.RelayTimeout_;
  const auto Late = Paused.plan(Now_);
  write(Standby);
  CHECK(Late.has_value());
  CHECK(Late && Late->Expected_ < Version_);
  Paused.observe(Standby.record(), Version_, Now_);
  CHECK_FALSE(Paused.isRelay());
}

// A fresh host finds a record of hosts that do not answer it. They may be cut
// off from it and from the store, and hold pledges from one another: it joins,
// but removes them only on the platform's word.
TEST(ZoneRecordPlanner, strangersSilenceIsNoProofButThePlatformsWordIs) {
  fleet::ZoneRecordPlanner Old = keeper("h1");
  write(Old);
  fleet::ZoneRecordPlanner Fresh = keeper("h9");
  fleet::ZoneRecord Seen = Old.record();
  Seen.Members_[0].KnownGeneration_ = 1;
  Fresh.observe(Seen, Version_, Now_);
  Now_ += 2 * Terms_.RenewalInterval_;
  STRCMP_EQUAL("join", std::string(write(Fresh)).c_str());
  Now_ += std::chrono::hours(1);
  STRCMP_EQUAL("takeover", std::string(write(Fresh)).c_str());
  CHECK(Fresh.record().find(base::HostId("h1")) != nullptr);
  Fresh.platformGone(base::HostId("h1"));
  write(Fresh);
  CHECK(Fresh.record().find(base::HostId("h1")) == nullptr);
}

TEST_GROUP(LeaseGuard) {
  fleet::LeaseGuard Guard_;
  base::TimePoint Now_{seconds(1000)};
};

// A host holds a lease and is stopped for a minute. It wakes up in the middle
// of an act it had checked before: the check with the clock read again must
// refuse, and its tenure tells that what it held may belong to others.
TEST(LeaseGuard, stoppedHostFindsItsLeaseLapsedAndATenureEnded) {
  Guard_.enter(3);
  Guard_.extend(Now_ + seconds(15), Now_);
  const std::uint64_t Tenure = Guard_.tenure();
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  Now_ += seconds(60);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Expired);
  Guard_.extend(Now_ + seconds(15), Now_);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  CHECK(Guard_.tenure() != Tenure);
}

TEST(LeaseGuard, refusesOtherEpochsAndWhatWasDropped) {
  Guard_.enter(3);
  Guard_.extend(Now_ + seconds(15), Now_);
  Guard_.enter(2);
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Valid);
  CHECK(Guard_.check(Now_, 2) == fleet::LeaseState::OtherEpoch);
  Guard_.drop();
  CHECK(Guard_.check(Now_, 3) == fleet::LeaseState::Expired);
}

TEST(LeaseGuard, extensionThatIsOverAlreadyGivesNothing) {
  Guard_.extend(Now_ - seconds(1), Now_);
  CHECK(Guard_.check(Now_, 0) == fleet::LeaseState::Expired);
}
