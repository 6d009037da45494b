#ifndef LYCHEE_TESTS_SOAK_SOAK_H
#define LYCHEE_TESTS_SOAK_SOAK_H

#include <cstdint>
#include <string>
#include <vector>

namespace lychee::soak {

/// What one seed brought.
struct SoakResult {
  std::string Summary_;
  /// The troubles, in order.
  std::string History_;
  /// A line for each promise that was broken; empty: all were kept.
  std::vector<std::string> Broken_;
  /// The hosts' logs, where a promise was broken.
  std::string Logs_;
};

/// What is played.
struct SoakSettings {
  std::uint64_t Seed_ = 1;
  /// How long troubles come and go.
  double Seconds_ = 8;
  /// One more target states a rate, which changes, and one more asks for rests
  /// and leaves.
  bool HasStatingTargets_ = true;
};

/// Plays one seed: a fleet starts, callers use it while troubles come and go,
/// then all is well again and the fleet must serve.
SoakResult runSoak(const SoakSettings &Settings);

} // namespace lychee::soak

#endif
