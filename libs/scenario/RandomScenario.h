#ifndef LYCHEE_SCENARIO_RANDOMSCENARIO_H
#define LYCHEE_SCENARIO_RANDOMSCENARIO_H

#include "scenario/Scenario.h"

namespace lychee::scenario {

/// \returns a small deployment under generated loads, faults and operators'
/// actions, the same for each seed. It expects nothing but what must always
/// hold: no violation of any kind. \see Violations
Scenario makeRandomScenario(std::uint64_t Seed);

} // namespace lychee::scenario

#endif
