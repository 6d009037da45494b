#ifndef LYCHEE_SCENARIO_PLAYER_H
#define LYCHEE_SCENARIO_PLAYER_H

#include "scenario/Outcome.h"
#include "scenario/Scenario.h"
#include "scenario/Strategy.h"

#include <functional>

namespace lychee::scenario {

using StrategyMaker = std::function<std::unique_ptr<Strategy>()>;

/// What a played scenario came to.
struct Verdict {
  Outcome Outcome_;
  /// One line for each expectation that was not met; empty means passed.
  std::vector<std::string> Unmet_;
  /// Where one was not met: the decisions on the requests that show it best.
  std::vector<std::string> Trace_;
};

/// Plays \p Played. Where an expectation is not met it is played again from
/// the same seed, and the decisions on the offending requests are taken down:
/// a trace costs nothing in the runs that pass.
Verdict play(const Scenario &Played, const StrategyMaker &Make);

/// Plays against the project's own steering.
Verdict play(const Scenario &Played);

} // namespace lychee::scenario

#endif
