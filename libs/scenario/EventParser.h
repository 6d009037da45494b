#ifndef LYCHEE_SCENARIO_EVENTPARSER_H
#define LYCHEE_SCENARIO_EVENTPARSER_H

#include "scenario/ScenarioLine.h"

namespace lychee::scenario {

/// Reads the rest of a line that begins with "at": a time, for how long, and
/// what happens then. \see parseScenario
void readEvent(ScenarioLine &Line, Scenario &Made);

} // namespace lychee::scenario

#endif
