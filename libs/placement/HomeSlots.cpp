#include "placement/HomeSlots.h"

#include "base/Hash.h"

namespace lychee::placement {

namespace {

/// Mixes two hashes into one that depends on every bit of both (the finisher
/// of SplitMix64).
std::uint64_t mix(std::uint64_t Left, std::uint64_t Right) noexcept {
  std::uint64_t Mixed = Left ^ (Right + 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace

std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const base::HostId &Self,
                        std::span<const base::HostId> Members) noexcept {
  std::uint32_t Mine = 0;
  for (std::uint32_t Slot = 0; Slot < Slots; ++Slot) {
    const std::uint64_t SlotHash = base::stableHash(Target.name(), Slot);
    const std::uint64_t SelfWeight =
        mix(SlotHash, base::stableHash(Self.name()));
    bool Highest = true;
    for (const base::HostId &Other : Members)
      if (mix(SlotHash, base::stableHash(Other.name())) > SelfWeight)
        Highest = false;
    if (Highest)
      ++Mine;
  }
  return Mine;
}

} // namespace lychee::placement
