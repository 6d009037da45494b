#ifndef LYCHEE_SCENARIO_SCENARIOPARSER_H
#define LYCHEE_SCENARIO_SCENARIOPARSER_H

#include "scenario/Scenario.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::scenario {

/// One fault in a scenario's text.
struct ScenarioProblem {
  int Line_ = 0;
  std::string Found_;
  std::string Allowed_;

  /// \returns "line N: found ..., allowed ...".
  std::string describe() const;

  bool operator==(const ScenarioProblem &) const = default;
};

/// Parses a scenario's text; goes on after a fault, so that all are told at
/// once. \returns nothing where there is any. \see docs/SCENARIOS.md
std::optional<Scenario> parseScenario(std::string_view Text,
                                      std::vector<ScenarioProblem> &Problems);

} // namespace lychee::scenario

#endif
