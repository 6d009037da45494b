#include "placement/HomeSlots.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lychee::placement {

namespace {

/// Mixes two hashes into one that depends on every bit of both (the finalizer
/// of SplitMix64).
std::uint64_t mix(std::uint64_t Left, std::uint64_t Right) noexcept {
  std::uint64_t Mixed = Left ^ (Right + 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

/// \returns the host's score for a slot: exponentially distributed with the
/// host's weight as its rate, so that the probability of having the lowest
/// score is proportional to the weight.
double scoreOf(std::uint64_t SlotHash, const HostWeight &Host) noexcept {
  const std::uint64_t Hash = mix(SlotHash, base::stableHash(Host.Host_.name()));
  const double Unit = (static_cast<double>(Hash >> 11) + 0.5) * 0x1.0p-53;
  return -std::log(Unit) / Host.Weight_;
}

} // namespace

std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const HostWeight &Self,
                        std::span<const HostWeight> Others) noexcept {
  std::uint32_t HomeCount = 0;
  for (std::uint32_t Slot = 0; Slot < Slots; ++Slot) {
    const std::uint64_t SlotHash = base::stableHash(Target.name(), Slot);
    const double OwnScore = scoreOf(SlotHash, Self);
    const bool HasLowestScore =
        std::all_of(Others.begin(), Others.end(),
                    [SlotHash, OwnScore](const HostWeight &Other) {
                      return scoreOf(SlotHash, Other) > OwnScore;
                    });
    if (HasLowestScore)
      ++HomeCount;
  }
  return HomeCount;
}

std::uint32_t homeSlots(const base::TargetId &Target, std::uint32_t Slots,
                        const base::HostId &Self,
                        std::span<const base::HostId> Others) {
  std::vector<HostWeight> EqualWeights;
  EqualWeights.reserve(Others.size());
  for (const base::HostId &Host : Others)
    EqualWeights.push_back({Host, 1});
  return homeSlots(Target, Slots, HostWeight{Self, 1}, EqualWeights);
}

} // namespace lychee::placement
