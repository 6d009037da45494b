#ifndef LYCHEE_SCENARIO_INTENTBUILDER_H
#define LYCHEE_SCENARIO_INTENTBUILDER_H

#include "scenario/Scenario.h"
#include "settings/Intent.h"

namespace lychee::scenario {

/// \returns the operators' intent at the start of a scenario, version 1.
settings::Intent buildIntent(const Scenario &Played);

/// Changes \p Changed as an operator's action asks, and raises its version.
/// \param Wall  the time of day at which the operator acts.
void applyOperatorAction(settings::Intent &Changed, const EventSpec &Action,
                         base::WallPoint Wall);

} // namespace lychee::scenario

#endif
