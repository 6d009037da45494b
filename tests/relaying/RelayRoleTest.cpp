#include "relaying/RelayRole.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace members = lychee::members;
using lychee::relaying::RelayRole;
using namespace std::chrono_literals;

namespace {

members::HostDescriptor cardOf(int Number, const char *Region = "near") {
  members::HostDescriptor Made;
  Made.Host_ = base::HostId("host-" + std::to_string(Number));
  Made.Region_ = base::RegionId(Region);
  Made.Address_ = "127.0.0." + std::to_string(Number);
  return Made;
}

members::HostView viewOf(int Number, const char *Region = "near") {
  members::HostView Made;
  Made.Descriptor_ = cardOf(Number, Region);
  Made.Alive_ = true;
  Made.Ready_ = true;
  return Made;
}

constexpr int HostCount = 10;
const auto Pace = lychee::relaying::freshnessTimeoutsFor(4s);

} // namespace

/// Ten hosts of a region, each with its own view of all others.
TEST_GROUP(RelayRole) {
  base::TimePoint Now_ = base::TimePoint(100s);
  std::vector<RelayRole> Roles_;
  std::vector<members::HostView> Views_;

  void setup() override {
    for (int Number = 1; Number <= HostCount; ++Number) {
      Roles_.emplace_back(cardOf(Number), Pace);
      Views_.push_back(viewOf(Number));
    }
    updateAll();
  }
  void updateAll() {
    for (std::size_t Each = 0; Each < Roles_.size(); ++Each) {
      std::vector<members::HostView> Others = Views_;
      Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Each));
      Roles_[Each].update(Others, false, Now_);
    }
  }
  /// All hosts hear the hosts that they ask now, which the store has just
  /// answered where \p Sound.
  void answerAll(bool Sound) {
    for (RelayRole &Each : Roles_)
      for (const std::string &Address : Each.askers())
        Each.noteAnswer(Address, Sound ? std::optional(Now_) : std::nullopt,
                        Now_);
  }
  std::vector<std::size_t> asking() const {
    std::vector<std::size_t> Found;
    for (std::size_t Each = 0; Each < Roles_.size(); ++Each)
      if (Roles_[Each].mustReadStore(Now_))
        Found.push_back(Each);
    return Found;
  }
};

TEST(RelayRole, twoHostsOfARegionAskAndAllAgreeWhich) {
  answerAll(true);
  const std::vector<std::size_t> Asking = asking();
  LONGS_EQUAL(RelayRole::AskersPerRegion, Asking.size());
  for (std::size_t Each = 0; Each < Roles_.size(); ++Each)
    for (const std::string &Address : Roles_[Each].askers())
      CHECK(Address == Views_[Asking[0]].Descriptor_.Address_ ||
            Address == Views_[Asking[1]].Descriptor_.Address_);
}

TEST(RelayRole, aHostThatHeardNobodyAsks) {
  RelayRole Alone(cardOf(1), Pace);
  CHECK(Alone.mustReadStore(Now_));
  Alone.update({}, false, Now_);
  CHECK(Alone.mustReadStore(Now_));
}

TEST(RelayRole, hostsOfOtherRegionsAreNotAsked) {
  RelayRole Role(cardOf(1), Pace);
  const std::vector<members::HostView> Others = {viewOf(2, "far"),
                                                 viewOf(3, "far")};
  Role.update(Others, false, Now_);
  CHECK(Role.askers().empty());
  CHECK(Role.mustReadStore(Now_ + 1h));
}

// The hosts that ask die. Nothing is told any more, and a target that leaves
// would go on getting requests; so after a second all others ask themselves,
// and once the dead are known to be dead, two of them are enough again.
TEST(RelayRole, whereNobodyAnswersAllAskUntilOthersTakeOver) {
  answerAll(true);
  const std::vector<std::size_t> Dead = asking();
  Now_ += RelayRole::Silence;
  LONGS_EQUAL(HostCount, asking().size());
  for (const std::size_t Each : Dead)
    Views_[Each].Alive_ = false;
  updateAll();
  answerAll(true);
  for (const std::size_t Each : asking())
    CHECK(Each == Dead[0] || Each == Dead[1] || Views_[Each].Alive_);
  LONGS_EQUAL(RelayRole::AskersPerRegion + Dead.size(), asking().size());
}

// The store refuses the hosts that ask, and serves all others. Those refused
// say so, and the next two ask in their place.
TEST(RelayRole, hostsThatTheStoreRefusesAreReplaced) {
  answerAll(true);
  const std::vector<std::size_t> Refused = asking();
  for (const std::size_t Each : Refused) {
    Roles_[Each].noteTrouble(Now_);
    Views_[Each].StoreTrouble_ = true;
  }
  updateAll();
  const std::vector<std::size_t> Asking = asking();
  LONGS_EQUAL(RelayRole::AskersPerRegion, Asking.size());
  for (const std::size_t Each : Asking)
    CHECK_FALSE(Views_[Each].StoreTrouble_);
}

// The store refuses everybody. Each host may try, and then all others together
// no more often than the chosen few: refused calls are paid for, and a store in
// trouble gets no better by being asked by all.
TEST(RelayRole, whereTheStoreRefusesAllFewGoOnAsking) {
  answerAll(false);
  double Together = 0;
  for (const RelayRole &Each : Roles_)
    Together += 1 / Each.backoffFactor(Now_);
  CHECK(Together <= 2.0 * RelayRole::AskersPerRegion);
  // Where nobody answers nobody asks in its place, either.
  Now_ += RelayRole::Silence;
  for (const RelayRole &Each : Roles_)
    DOUBLES_EQUAL(1, Each.backoffFactor(Now_), 0);
}

// Two of three hosts are cut off from the store, and a single call of the third
// was reset. All three say that they have trouble, and the two come first by
// hash. The third must not wait for them: it asks on, and the call that comes
// puts it before them.
TEST(RelayRole, aHostThatTheStoreServesAsksThoughACallOfItFailed) {
  answerAll(true);
  const std::vector<std::size_t> CutOff = asking();
  for (std::size_t Each = 0; Each < Roles_.size(); ++Each) {
    Roles_[Each].noteTrouble(Now_);
    Views_[Each].StoreTrouble_ = true;
  }
  Now_ += Pace.Ask_ + Pace.AskSpread_;
  answerAll(false);
  LONGS_EQUAL(HostCount, asking().size());
  for (std::size_t Each = 0; Each < Roles_.size(); ++Each)
    if (Each != CutOff[0] && Each != CutOff[1]) {
      Roles_[Each].noteSuccess();
      Views_[Each].StoreTrouble_ = Roles_[Each].isInTrouble(Now_);
    }
  updateAll();
  answerAll(true);
  LONGS_EQUAL(RelayRole::AskersPerRegion, asking().size());
  for (const std::size_t Each : asking())
    CHECK(Each != CutOff[0] && Each != CutOff[1]);
}

// The hosts that ask answer, but hear nothing themselves: their view of who
// asks differs. What they told last grows old, and then this host asks.
TEST(RelayRole, answersWithoutSubstanceAreNotWaitedForForLong) {
  answerAll(true);
  Now_ += Pace.Ask_ - 1ms;
  answerAll(false);
  LONGS_EQUAL(RelayRole::AskersPerRegion, asking().size());
  Now_ += Pace.AskSpread_ + 1ms;
  LONGS_EQUAL(HostCount, asking().size());
}

TEST(RelayRole, aHostThatLeavesDoesNotAsk) {
  RelayRole Role(cardOf(1), Pace);
  const std::vector<members::HostView> Others = {viewOf(2)};
  Role.update(Others, true, Now_);
  Role.noteAnswer("127.0.0.2", Now_, Now_);
  CHECK_FALSE(Role.mustReadStore(Now_));
}
