#include "Strategies.h"

#include "scenario/BaselineSteering.h"
#include "scenario/FleetStrategy.h"

#include <array>

namespace lychee::bench {

namespace {

using scenario::BaselineRules;
using scenario::BaselineStrategy;
using scenario::FleetRules;
using scenario::FleetStrategy;
using scenario::Strategy;

std::unique_ptr<Strategy> fleet() { return std::make_unique<FleetStrategy>(); }

template <BaselineRules::Choice Choice, std::uint32_t Sends>
std::unique_ptr<Strategy> baseline() {
  return std::make_unique<BaselineStrategy>(BaselineRules{Choice, Sends});
}

template <FleetRules Rules> std::unique_ptr<Strategy> fleetWithout() {
  return std::make_unique<FleetStrategy>(Rules);
}

using enum BaselineRules::Choice;

constexpr std::array Strategies{
    NamedStrategy{"lycheespoke", fleet},
    NamedStrategy{"round-robin", baseline<RoundRobin, 1>},
    NamedStrategy{"least-reported-load", baseline<LeastReportedLoad, 1>},
    NamedStrategy{"local-region-only",
                  fleetWithout<FleetRules{.LocalOnly_ = true}>},
    NamedStrategy{"static-equal-shares",
                  fleetWithout<FleetRules{.Exchange_ = false}>},
    NamedStrategy{"plain-fifo", fleetWithout<FleetRules{.OneLine_ = true}>},
    NamedStrategy{"retry-three-times", baseline<RoundRobin, 4>},
};

} // namespace

std::span<const NamedStrategy> allStrategies() noexcept { return Strategies; }

} // namespace lychee::bench
