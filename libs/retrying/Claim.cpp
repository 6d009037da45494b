#include "retrying/Claim.h"

#include "base/Hash.h"

#include <cassert>
#include <string>

namespace lychee::retrying {

ClaimKey ClaimKey::of(const base::CustomerId &Customer,
                      std::string_view IdempotencyKey) {
  static constexpr std::uint64_t HighSeed = 1;
  static constexpr std::uint64_t LowSeed = 2;
  // The length prefix makes ("ab", "c") and ("a", "bc") different keys.
  std::string Text = std::to_string(Customer.name().size());
  Text += ':';
  Text += Customer.name();
  Text += IdempotencyKey;
  return {base::stableHash(Text, HighSeed), base::stableHash(Text, LowSeed)};
}

std::uint32_t partitionOf(const ClaimKey &Key,
                          std::uint32_t Partitions) noexcept {
  assert(Partitions > 0 && "claims need at least one partition");
  return static_cast<std::uint32_t>(Key.High_ % Partitions);
}

std::size_t ownerOf(std::uint32_t Partition,
                    std::span<const base::HostId> Members) noexcept {
  assert(!Members.empty() && "a partition is owned by some host");
  std::size_t Owner = 0;
  std::uint64_t Highest = 0;
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    const std::uint64_t Weight =
        base::stableHash(Members[Index].name(), Partition);
    if (Weight < Highest)
      continue;
    Highest = Weight;
    Owner = Index;
  }
  return Owner;
}

} // namespace lychee::retrying
