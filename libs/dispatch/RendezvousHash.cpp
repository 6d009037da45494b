#include "dispatch/RendezvousHash.h"

#include <cmath>

namespace lychee::dispatch {

namespace {

/// Mixes all bits (the finalizer of SplitMix64): similar hashes must give
/// unrelated scores.
std::uint64_t mixBits(std::uint64_t Value) noexcept {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

double rendezvousScore(std::uint64_t Object, std::uint64_t Target,
                       double Weight) noexcept {
  constexpr double Unit = 0x1.0p-53;
  const std::uint64_t Bits = mixBits(Object ^ mixBits(Target));
  const double Uniform = (static_cast<double>(Bits >> 11) + 0.5) * Unit;
  return -Weight / std::log(Uniform);
}

} // namespace lychee::dispatch
