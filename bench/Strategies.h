#ifndef LYCHEE_BENCH_STRATEGIES_H
#define LYCHEE_BENCH_STRATEGIES_H

#include "scenario/Player.h"

#include <span>
#include <string_view>

namespace lychee::bench {

/// A way of steering that is played, by name.
struct NamedStrategy {
  std::string_view Name_;
  std::unique_ptr<scenario::Strategy> (*Make_)();
};

/// Ours first, then what it is compared with.
std::span<const NamedStrategy> allStrategies() noexcept;

} // namespace lychee::bench

#endif
