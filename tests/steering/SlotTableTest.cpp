#include "steering/SlotTable.h"

#include <memory>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace steering = lychee::steering;

namespace {

constexpr std::uint32_t SlotsPerTarget = 4;

base::HostId host(std::size_t Number) {
  return base::HostId("host-" + std::to_string(Number));
}

base::TargetId target(std::size_t Number) {
  return base::TargetId("target-" + std::to_string(Number));
}

} // namespace

TEST_GROUP(SlotTable) {
  static constexpr std::size_t Hosts = 3;
  static constexpr std::size_t Targets = 5;
  std::vector<std::unique_ptr<steering::SlotTable>> Tables_;
  std::vector<base::HostId> Members_;

  void setup() override {
    std::vector<lychee::placement::TargetSpec> Specs;
    Specs.reserve(Targets);
    for (std::size_t Number = 0; Number < Targets; ++Number)
      Specs.push_back({target(Number), SlotsPerTarget, false});
    for (std::size_t Number = 0; Number < Hosts; ++Number) {
      Members_.push_back(host(Number));
      Tables_.push_back(std::make_unique<steering::SlotTable>(host(Number)));
      Tables_.back()->setTargets(Specs);
    }
    enter(1, Members_);
    settle(1);
  }

  void enter(std::uint64_t Epoch, const std::vector<base::HostId> &Members) {
    for (std::size_t Number = 0; Number < Members.size(); ++Number)
      Tables_[Number]->enterEpoch(Epoch, Members, Members);
  }
  void settle(std::uint64_t Epoch) {
    for (const auto &Table : Tables_)
      Table->settle(Epoch);
  }
  std::int64_t sum(std::size_t Target, std::size_t Count = Hosts) const {
    std::int64_t Sum = 0;
    for (std::size_t Number = 0; Number < Count; ++Number)
      Sum += Tables_[Number]->heldSlots(target(Target));
    return Sum;
  }
  /// \returns a host that holds a slot of the target.
  std::size_t holder(std::size_t Target) const {
    std::size_t Found = 0;
    while (Tables_[Found]->heldSlots(target(Target)) < 1)
      ++Found;
    return Found;
  }
};

TEST(SlotTable, allHostsTogetherHoldEachSlotOnce) {
  for (std::size_t Number = 0; Number < Targets; ++Number)
    LONGS_EQUAL(SlotsPerTarget, sum(Number));
}

TEST(SlotTable, aNewHostHoldsNoSlotsBeforeItsEpochSettles) {
  steering::SlotTable Fresh(host(9));
  Fresh.enterEpoch(1, Members_, Members_);
  const std::vector<lychee::placement::TargetSpec> Specs{{target(0), 4, false}};
  Fresh.setTargets(Specs);
  LONGS_EQUAL(0, Fresh.heldSlots(target(0)));
}

TEST(SlotTable, lostDuplicateOrLateMessagesCreateNoSlots) {
  // One grant is lost, the next one arrives twice, and the lost one arrives
  // last. The slots are missing until the second message, which includes both
  // grants, and are never counted twice.
  const std::size_t Donor = holder(0);
  const std::size_t Receiver = (Donor + 1) % Hosts;
  const std::int64_t Before = Tables_[Receiver]->heldSlots(target(0));
  const auto Lost = Tables_[Donor]->grant(host(Receiver), target(0), 1);
  LONGS_EQUAL(SlotsPerTarget - 1, sum(0));
  const auto Second = Tables_[Donor]->grant(host(Receiver), target(0), 0);
  CHECK(Tables_[Receiver]->acceptGrant(host(Donor), Second));
  CHECK_FALSE(Tables_[Receiver]->acceptGrant(host(Donor), Second));
  CHECK_FALSE(Tables_[Receiver]->acceptGrant(host(Donor), Lost));
  LONGS_EQUAL(Before + 1, Tables_[Receiver]->heldSlots(target(0)));
  LONGS_EQUAL(SlotsPerTarget, sum(0));
}

TEST(SlotTable, theSlotsOfALostHostReturnOnceItsLeaseEnds) {
  // Host 2 granted and received slots, and dies. The slots it granted are given
  // up at once, because they were its own; the slots it received may be in use
  // until its lease ends. After that the two remaining hosts hold every slot.
  for (std::size_t Number = 0; Number < Targets; ++Number) {
    const std::size_t Donor = holder(Number);
    const std::size_t Receiver = Donor == 2 ? 0 : 2;
    const auto Count = Tables_[Donor]->grant(host(Receiver), target(Number), 1);
    Tables_[Receiver]->acceptGrant(host(Donor), Count);
  }
  const std::vector<std::int64_t> LastUse{
      Tables_[2]->heldSlots(target(0)), Tables_[2]->heldSlots(target(1)),
      Tables_[2]->heldSlots(target(2)), Tables_[2]->heldSlots(target(3)),
      Tables_[2]->heldSlots(target(4))};
  enter(2, {host(0), host(1)});
  for (std::size_t Number = 0; Number < Targets; ++Number)
    CHECK(sum(Number, 2) + LastUse[Number] <= SlotsPerTarget);
  settle(2);
  for (std::size_t Number = 0; Number < Targets; ++Number)
    LONGS_EQUAL(SlotsPerTarget, sum(Number, 2));
}

TEST(SlotTable, onlyTheBalanceOfGrantsCountsWhenAHostIsLost) {
  // Two hosts passed one slot back and forth ten times, and one of them dies.
  // If the other one gave up a slot for each grant it ever made, its callers
  // would be refused for seconds. It gives up only the balance of the two
  // counts, here none.
  const std::size_t Donor = holder(0) == 2 ? 1 : holder(0);
  const std::int64_t Before = Tables_[Donor]->heldSlots(target(0));
  for (int Round = 0; Round < 10; ++Round) {
    Tables_[2]->acceptGrant(host(Donor),
                            Tables_[Donor]->grant(host(2), target(0), 1));
    Tables_[Donor]->acceptGrant(host(2),
                                Tables_[2]->grant(host(Donor), target(0), 1));
  }
  enter(2, {host(0), host(1)});
  LONGS_EQUAL(Before, Tables_[Donor]->heldSlots(target(0)));
}

TEST(SlotTable, aLeavingTargetProvidesNoSlots) {
  const std::vector<lychee::placement::TargetSpec> Specs{{target(0), 4, true}};
  for (const auto &Table : Tables_)
    Table->setTargets(Specs);
  LONGS_EQUAL(0, sum(0));
}
