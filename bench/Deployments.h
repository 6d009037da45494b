#ifndef LYCHEE_BENCH_DEPLOYMENTS_H
#define LYCHEE_BENCH_DEPLOYMENTS_H

#include "scenario/Scenario.h"

#include <optional>
#include <span>
#include <string_view>

namespace lychee::bench {

/// A load or fault that a deployment is played under.
struct Pattern {
  std::string_view Name_;
  /// Share of all slots that the customers' usual loads take.
  double Load_ = 0.8;
  void (*Apply_)(scenario::Scenario &Played);
};

std::span<const Pattern> allPatterns() noexcept;

/// \returns null where there is none of that name.
const Pattern *findPattern(std::string_view Name) noexcept;

/// \returns kitakyushu or glockenwerk at the sizes of today under a pattern;
/// nothing for any other name.
std::optional<scenario::Scenario>
makeDeployment(std::string_view Name, const Pattern &Under, std::uint64_t Seed);

} // namespace lychee::bench

#endif
