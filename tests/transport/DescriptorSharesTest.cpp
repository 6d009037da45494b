#include "transport/DescriptorShares.h"

#include <limits>

#include "CppUTest/TestHarness.h"

using lychee::transport::DescriptorShares;
using lychee::transport::divideDescriptors;

TEST_GROUP(DescriptorShares){};

// Guards against descriptors that are all taken by callers.
TEST(DescriptorShares, aQuarterIsLeftForTargetsAndTheStore) {
  constexpr std::uint64_t Servers = 4;
  for (const std::uint64_t Limit : {64UL, 1024UL, 4100UL, 1'000'000UL}) {
    const DescriptorShares Shares = divideDescriptors(Limit);
    CHECK(Shares.Callers_ > 0 && Shares.Server_ > 0);
    CHECK(Shares.Callers_ + Servers * Shares.Server_ <= Limit * 3 / 4);
  }
  CHECK(divideDescriptors(std::numeric_limits<std::uint64_t>::max()).Callers_ >
        1'000'000'000);
}
