#ifndef LYCHEE_SCENARIO_SCENARIOCHECK_H
#define LYCHEE_SCENARIO_SCENARIOCHECK_H

#include "scenario/ScenarioParser.h"

namespace lychee::scenario {

/// Checks that the parts of a scenario fit: each name that is used stands for
/// something declared. Else a fault in a misspelt target would never happen,
/// and the scenario would pass for nothing.
void checkScenario(const Scenario &Made,
                   std::vector<ScenarioProblem> &Problems);

/// \returns true where \p Pattern names \p Name, or ends in * and begins it.
bool matches(std::string_view Pattern, std::string_view Name) noexcept;

/// \returns the names of targets and of hosts as faults use them: SERVICE-
/// REGION-N and REGION-N, from 1 on.
std::vector<std::string> targetNames(const Scenario &Made);
std::vector<std::string> hostNames(const Scenario &Made);

} // namespace lychee::scenario

#endif
