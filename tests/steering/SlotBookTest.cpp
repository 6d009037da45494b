#include "steering/SlotTable.h"

#include <memory>

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace steering = lychee::steering;

namespace {

constexpr std::uint32_t SlotsOfTarget = 4;

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
  std::vector<std::unique_ptr<steering::SlotTable>> Books_;
  std::vector<base::HostId> Members_;

  void setup() override {
    std::vector<lychee::placement::TargetSpec> Specs;
    Specs.reserve(Targets);
    for (std::size_t Number = 0; Number < Targets; ++Number)
      Specs.push_back({target(Number), SlotsOfTarget, false});
    for (std::size_t Number = 0; Number < Hosts; ++Number) {
      Members_.push_back(host(Number));
      Books_.push_back(std::make_unique<steering::SlotTable>(host(Number)));
      Books_.back()->setTargets(Specs);
    }
    enter(1, Members_);
    settle(1);
  }

  void enter(std::uint64_t Epoch, const std::vector<base::HostId> &Members) {
    for (std::size_t Number = 0; Number < Members.size(); ++Number)
      Books_[Number]->enterEpoch(Epoch, Members, Members);
  }
  void settle(std::uint64_t Epoch) {
    for (const auto &Book : Books_)
      Book->settle(Epoch);
  }
  std::int64_t sum(std::size_t Target, std::size_t Count = Hosts) const {
    std::int64_t Sum = 0;
    for (std::size_t Number = 0; Number < Count; ++Number)
      Sum += Books_[Number]->held(target(Target));
    return Sum;
  }
  /// \returns a host that holds a slot of the target.
  std::size_t holder(std::size_t Target) const {
    std::size_t Found = 0;
    while (Books_[Found]->held(target(Target)) < 1)
      ++Found;
    return Found;
  }
};

TEST(SlotTable, hostsTogetherHoldEachSlotOnce) {
  for (std::size_t Number = 0; Number < Targets; ++Number)
    LONGS_EQUAL(SlotsOfTarget, sum(Number));
}

TEST(SlotTable, beforeItsEpochHasSettledAHostHoldsNone) {
  steering::SlotTable Fresh(host(9));
  Fresh.enterEpoch(1, Members_, Members_);
  const std::vector<lychee::placement::TargetSpec> Specs{{target(0), 4, false}};
  Fresh.setTargets(Specs);
  LONGS_EQUAL(0, Fresh.held(target(0)));
}

TEST(SlotTable, aLostDoubledOrLateMessageMakesNoSlot) {
  // A gift is lost, the next one comes twice, and the lost one turns up last.
  // Slots are missing until the second message tells both, never doubled.
  const std::size_t Donor = holder(0);
  const std::size_t Receiver = (Donor + 1) % Hosts;
  const std::int64_t Before = Books_[Receiver]->held(target(0));
  const auto Lost = Books_[Donor]->give(host(Receiver), target(0), 1);
  LONGS_EQUAL(SlotsOfTarget - 1, sum(0));
  const auto Second = Books_[Donor]->give(host(Receiver), target(0), 0);
  CHECK(Books_[Receiver]->accept(host(Donor), Second));
  CHECK_FALSE(Books_[Receiver]->accept(host(Donor), Second));
  CHECK_FALSE(Books_[Receiver]->accept(host(Donor), Lost));
  LONGS_EQUAL(Before + 1, Books_[Receiver]->held(target(0)));
  LONGS_EQUAL(SlotsOfTarget, sum(0));
}

TEST(SlotTable, aLostHostsSlotsComeBackOnceItsLeaseIsOver) {
  // Host 2 gave a slot away and got one, and dies. What it gave is given up at
  // once, since it was its own; what it got may be in use until its lease is
  // over. After that the two that are left hold every slot.
  for (std::size_t Number = 0; Number < Targets; ++Number) {
    const std::size_t Donor = holder(Number);
    const std::size_t Receiver = Donor == 2 ? 0 : 2;
    const auto Gift = Books_[Donor]->give(host(Receiver), target(Number), 1);
    Books_[Receiver]->accept(host(Donor), Gift);
  }
  const std::vector<std::int64_t> LastUse{
      Books_[2]->held(target(0)), Books_[2]->held(target(1)),
      Books_[2]->held(target(2)), Books_[2]->held(target(3)),
      Books_[2]->held(target(4))};
  enter(2, {host(0), host(1)});
  for (std::size_t Number = 0; Number < Targets; ++Number)
    CHECK(sum(Number, 2) + LastUse[Number] <= SlotsOfTarget);
  settle(2);
  for (std::size_t Number = 0; Number < Targets; ++Number)
    LONGS_EQUAL(SlotsOfTarget, sum(Number, 2));
}

TEST(SlotTable, slotsThatWentToAndFroCountOnceWhenAHostIsLost) {
  // Callers of the hosts that are left would be refused for seconds. Two hosts
  // passed one slot to and fro ten times; one of them dies. The other loses
  // the one slot that is out, not the ten that it ever gave.
  const std::size_t Donor = holder(0) == 2 ? 1 : holder(0);
  const std::int64_t Before = Books_[Donor]->held(target(0));
  for (int Time = 0; Time < 10; ++Time) {
    Books_[2]->accept(host(Donor), Books_[Donor]->give(host(2), target(0), 1));
    Books_[Donor]->accept(host(2), Books_[2]->give(host(Donor), target(0), 1));
  }
  enter(2, {host(0), host(1)});
  LONGS_EQUAL(Before, Books_[Donor]->held(target(0)));
}

TEST(SlotTable, aLeavingTargetGivesNoSlots) {
  const std::vector<lychee::placement::TargetSpec> Specs{{target(0), 4, true}};
  for (const auto &Book : Books_)
    Book->setTargets(Specs);
  LONGS_EQUAL(0, sum(0));
}
