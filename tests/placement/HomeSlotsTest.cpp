#include "placement/HomeSlots.h"

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using lychee::base::HostId;
using lychee::base::TargetId;
using lychee::placement::homeSlots;
using lychee::placement::HostWeight;

namespace {

constexpr int Targets = 200;
constexpr std::uint32_t Slots = 3;

std::vector<HostWeight> hosts(int Count) {
  std::vector<HostWeight> All;
  All.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    All.push_back({HostId("host-" + std::to_string(Index)), 1});
  return All;
}

std::uint32_t homeSlotsOf(std::size_t Self, std::vector<HostWeight> All,
                          int Target) {
  const HostWeight Own = All[Self];
  All.erase(All.begin() + static_cast<std::ptrdiff_t>(Self));
  return homeSlots(TargetId("target-" + std::to_string(Target)), Slots, Own,
                   All);
}

} // namespace

TEST_GROUP(HomeSlots){};

// Each slot must be the home slot of exactly one host: two hosts that both
// claim a slot collide there, and a slot that no host claims stays idle.
TEST(HomeSlots, homeSlotsOfAllHostsAddUpToAllSlots) {
  const std::vector<HostWeight> All = hosts(10);
  for (int Target = 0; Target < Targets; ++Target) {
    std::uint32_t Sum = 0;
    for (std::size_t Host = 0; Host < All.size(); ++Host)
      Sum += homeSlotsOf(Host, All, Target);
    LONGS_EQUAL(Slots, Sum);
  }
}

TEST(HomeSlots, homeSlotsAreProportionalToTheHostsWeight) {
  std::vector<HostWeight> All = hosts(10);
  All[3].Weight_ = 3;
  std::uint32_t Heavy = 0;
  for (int Target = 0; Target < Targets; ++Target)
    Heavy += homeSlotsOf(3, All, Target);
  DOUBLES_EQUAL(3.0 / 12, Heavy / double(Targets * Slots), 0.05);
}

TEST(HomeSlots, losingAHostMovesOnlyItsSlots) {
  const std::vector<HostWeight> All = hosts(10);
  const std::vector<HostWeight> Fewer(All.begin(), All.end() - 1);
  for (int Target = 0; Target < Targets; ++Target)
    for (std::size_t Host = 0; Host < Fewer.size(); ++Host)
      CHECK(homeSlotsOf(Host, Fewer, Target) >= homeSlotsOf(Host, All, Target));
}

TEST(HomeSlots, aSingleHostHasAllSlots) {
  LONGS_EQUAL(Slots, homeSlotsOf(0, hosts(1), 1));
}
