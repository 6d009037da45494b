#ifndef LYCHEE_BASE_RANDOM_H
#define LYCHEE_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace lychee::base {

/// The source of random numbers. Decisions take it as an argument; programs
/// seed it from the machine, tests and scenarios from a written seed.
using Random = std::mt19937_64;

/// \returns a number below \p Bound, each equally likely up to 1 in 2^32.
/// \param Bound  at least 1. The same draws give the same numbers with every
/// standard library, which std::uniform_int_distribution does not promise.
inline std::uint32_t drawBelow(Random &Source, std::uint32_t Bound) {
  return static_cast<std::uint32_t>(((Source() >> 32) * Bound) >> 32);
}

/// \returns a number of [0, 1).
inline double drawUnit(Random &Source) {
  return static_cast<double>(Source() >> 11) * 0x1.0p-53;
}

} // namespace lychee::base

#endif
