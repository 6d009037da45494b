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
  for (int Each = 0; Each < Count; ++Each)
    All.push_back({HostId("host-" + std::to_string(Each)), 1});
  return All;
}

std::uint32_t homesOf(std::size_t Self, std::vector<HostWeight> All,
                      int Target) {
  const HostWeight Own = All[Self];
  All.erase(All.begin() + static_cast<std::ptrdiff_t>(Self));
  return homeSlots(TargetId("target-" + std::to_string(Target)), Slots, Own,
                   All);
}

} // namespace

TEST_GROUP(HomeSlots){};

// Two hosts that both took a slot for theirs would meet there; a slot that no
// one has would be idle. Each must be the home of exactly one host.
TEST(HomeSlots, theHostsHomesAddUpToAllSlots) {
  const std::vector<HostWeight> All = hosts(10);
  for (int Target = 0; Target < Targets; ++Target) {
    std::uint32_t Sum = 0;
    for (std::size_t Host = 0; Host < All.size(); ++Host)
      Sum += homesOf(Host, All, Target);
    LONGS_EQUAL(Slots, Sum);
  }
}

TEST(HomeSlots, aHostHasAsManyAsItsWeightDemands) {
  std::vector<HostWeight> All = hosts(10);
  All[3].Weight_ = 3;
  std::uint32_t Heavy = 0;
  for (int Target = 0; Target < Targets; ++Target)
    Heavy += homesOf(3, All, Target);
  DOUBLES_EQUAL(3.0 / 12, Heavy / double(Targets * Slots), 0.05);
}

TEST(HomeSlots, aLostHostMovesOnlyItsOwnSlots) {
  const std::vector<HostWeight> All = hosts(10);
  const std::vector<HostWeight> Fewer(All.begin(), All.end() - 1);
  for (int Target = 0; Target < Targets; ++Target)
    for (std::size_t Host = 0; Host < Fewer.size(); ++Host)
      CHECK(homesOf(Host, Fewer, Target) >= homesOf(Host, All, Target));
}

TEST(HomeSlots, aLoneHostHasAll) {
  LONGS_EQUAL(Slots, homesOf(0, hosts(1), 1));
}
