#include "relaying/RelayRole.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using lychee::relaying::RelayRole;
using namespace std::chrono_literals;

namespace {

members::HostDescriptor descriptorOf(int Number, const char *Region = "near") {
  members::HostDescriptor Result;
  Result.Host_ = base::HostId("host-" + std::to_string(Number));
  Result.Region_ = base::RegionId(Region);
  Result.Address_ = "127.0.0." + std::to_string(Number);
  return Result;
}

members::HostView viewOf(int Number, const char *Region = "near") {
  members::HostView Result;
  Result.Descriptor_ = descriptorOf(Number, Region);
  Result.Alive_ = true;
  Result.Ready_ = true;
  return Result;
}

constexpr int HostCount = 10;
const auto Timeouts =
    lychee::relaying::freshnessTimeoutsFor(base::Duration(4s));

} // namespace

/// Ten hosts of a region, each with its own view of all others.
TEST_GROUP(RelayRole) {
  base::TimePoint Now_ = base::TimePoint(100s);
  std::vector<RelayRole> Roles_;
  std::vector<members::HostView> Views_;

  void setup() override {
    for (int Number = 1; Number <= HostCount; ++Number) {
      Roles_.emplace_back(descriptorOf(Number), Timeouts);
      Views_.push_back(viewOf(Number));
    }
    updateAll();
  }
  void updateAll() {
    for (std::size_t Entry = 0; Entry < Roles_.size(); ++Entry) {
      std::vector<members::HostView> Others = Views_;
      Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Entry));
      Roles_[Entry].update(Others, false, Now_);
    }
  }
  /// All hosts get responses from the readers that they poll now. If \p
  /// IsSynced, the store has just responded to these.
  void respondToAll(bool IsSynced) {
    for (RelayRole &Entry : Roles_)
      for (const std::string &Address : Entry.readers())
        Entry.noteResponse(Address,
                           IsSynced ? std::optional(Now_) : std::nullopt, Now_);
  }
  std::vector<std::size_t> reading() const {
    std::vector<std::size_t> Found;
    for (std::size_t Entry = 0; Entry < Roles_.size(); ++Entry)
      if (Roles_[Entry].mustReadStore(Now_))
        Found.push_back(Entry);
    return Found;
  }
};

TEST(RelayRole, allHostsAgreeOnTwoReaders) {
  respondToAll(true);
  const std::vector<std::size_t> Reading = reading();
  LONGS_EQUAL(RelayRole::MinReaders, Reading.size());
  for (std::size_t Entry = 0; Entry < Roles_.size(); ++Entry)
    for (const std::string &Address : Roles_[Entry].readers())
      CHECK(Address == Views_[Reading[0]].Descriptor_.Address_ ||
            Address == Views_[Reading[1]].Descriptor_.Address_);
}

TEST(RelayRole, hostWithoutResponsesReadsTheStore) {
  RelayRole Alone(descriptorOf(1), Timeouts);
  CHECK(Alone.mustReadStore(Now_));
  Alone.update({}, false, Now_);
  CHECK(Alone.mustReadStore(Now_));
}

TEST(RelayRole, hostsOfOtherRegionsAreNotPolled) {
  RelayRole Role(descriptorOf(1), Timeouts);
  const std::vector<members::HostView> Others = {viewOf(2, "far"),
                                                 viewOf(3, "far")};
  Role.update(Others, false, Now_);
  CHECK(Role.readers().empty());
  CHECK(Role.mustReadStore(Now_ + 1h));
}

// The readers die. Without updates a leaving target would continue to get
// requests, so after a second all other hosts read the store themselves. Once
// the dead hosts are known to be dead, two readers are enough again.
TEST(RelayRole, withoutResponsesAllHostsReadUntilOthersTakeOver) {
  respondToAll(true);
  const std::vector<std::size_t> Dead = reading();
  Now_ += RelayRole::SilenceLimit;
  LONGS_EQUAL(HostCount, reading().size());
  for (const std::size_t Entry : Dead)
    Views_[Entry].Alive_ = false;
  updateAll();
  respondToAll(true);
  for (const std::size_t Entry : reading())
    CHECK(Entry == Dead[0] || Entry == Dead[1] || Views_[Entry].Alive_);
  LONGS_EQUAL(RelayRole::MinReaders + Dead.size(), reading().size());
}

// The store refuses the readers but serves all others. The readers report that,
// and the next two replace them.
TEST(RelayRole, readersThatTheStoreRefusesAreReplaced) {
  respondToAll(true);
  const std::vector<std::size_t> Failed = reading();
  for (const std::size_t Entry : Failed) {
    Roles_[Entry].noteTrouble(Now_);
    Views_[Entry].StoreTrouble_ = true;
  }
  updateAll();
  const std::vector<std::size_t> Reading = reading();
  LONGS_EQUAL(RelayRole::MinReaders, Reading.size());
  for (const std::size_t Entry : Reading)
    CHECK_FALSE(Views_[Entry].StoreTrouble_);
}

// The store refuses all hosts. Each host may try once; after that all of them
// together must not call more often than the readers alone would. Refused calls
// are paid for, and more calls do not help a failing store.
TEST(RelayRole, callRateStaysLowIfTheStoreRefusesAllHosts) {
  respondToAll(false);
  double CallRate = 0;
  for (const RelayRole &Entry : Roles_)
    CallRate += 1 / Entry.backoffFactor(Now_);
  CHECK(CallRate <= 2.0 * RelayRole::MinReaders);
  // If no host responds, none reads the store on behalf of the others either.
  Now_ += RelayRole::SilenceLimit;
  for (const RelayRole &Entry : Roles_)
    DOUBLES_EQUAL(1, Entry.backoffFactor(Now_), 0);
}

// Two of three hosts are cut off from the store, and a single call of the third
// was reset. All three report a failure, and the two rank first by hash. The
// third must not wait for them: it goes on calling, and a successful call ranks
// it before them.
TEST(RelayRole, hostReadsTheStoreDespiteAFailedCall) {
  respondToAll(true);
  const std::vector<std::size_t> CutOff = reading();
  for (std::size_t Entry = 0; Entry < Roles_.size(); ++Entry) {
    Roles_[Entry].noteTrouble(Now_);
    Views_[Entry].StoreTrouble_ = true;
  }
  Now_ += Timeouts.ReadStoreAfter_ + Timeouts.ReadStoreSpread_;
  respondToAll(false);
  LONGS_EQUAL(HostCount, reading().size());
  for (std::size_t Entry = 0; Entry < Roles_.size(); ++Entry)
    if (Entry != CutOff[0] && Entry != CutOff[1]) {
      Roles_[Entry].noteSuccess();
      Views_[Entry].StoreTrouble_ = Roles_[Entry].isInTrouble(Now_);
    }
  updateAll();
  respondToAll(true);
  LONGS_EQUAL(RelayRole::MinReaders, reading().size());
  for (const std::size_t Entry : reading())
    CHECK(Entry != CutOff[0] && Entry != CutOff[1]);
}

// The readers respond but have no recent updates, because they see other hosts
// as readers. Once their last update is too old, this host must read the store
// itself.
TEST(RelayRole, outdatedUpdatesAreNotReliedOnForLong) {
  respondToAll(true);
  Now_ += Timeouts.ReadStoreAfter_ - 1ms;
  respondToAll(false);
  LONGS_EQUAL(RelayRole::MinReaders, reading().size());
  Now_ += Timeouts.ReadStoreSpread_ + 1ms;
  LONGS_EQUAL(HostCount, reading().size());
}

TEST(RelayRole, leavingHostDoesNotReadTheStore) {
  RelayRole Role(descriptorOf(1), Timeouts);
  const std::vector<members::HostView> Others = {viewOf(2)};
  Role.update(Others, true, Now_);
  Role.noteResponse("127.0.0.2", Now_, Now_);
  CHECK_FALSE(Role.mustReadStore(Now_));
}

// Guards against requests to a target that left while the hosts that read the
// store do not answer: the others must read it before the target's bound.
TEST(RelayRole, hostsReadTheStoreBeforeTheStrictestBound) {
  for (const base::Duration Drain : {2000ms, 2500ms, 3000ms, 4000ms}) {
    lychee::live::DeploymentBounds Bounds;
    Bounds.ChangeInForce_ = 5s;
    Bounds.TargetDrain_ = Drain;
    const auto Strict = lychee::relaying::freshnessTimeoutsFor(Bounds);
    CHECK(Strict.ReadStoreAfter_ + Strict.ReadStoreSpread_ < Drain);
  }
}
