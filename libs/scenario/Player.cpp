#include "scenario/Player.h"

#include "scenario/Engine.h"
#include "scenario/FleetStrategy.h"
#include "scenario/Metric.h"

namespace lychee::scenario {

Verdict play(const Scenario &Played, const StrategyMaker &Make) {
  Verdict Result;
  const auto First = Make();
  Result.Outcome_ = Engine(Played, *First).run();
  Result.Unmet_ = unmetExpectations(Played, Result.Outcome_);
  if (Result.Unmet_.empty())
    return Result;
  const std::set<std::uint64_t> Traced(Result.Outcome_.Offenders_.begin(),
                                       Result.Outcome_.Offenders_.end());
  const auto Second = Make();
  Result.Trace_ = Engine(Played, *Second, Traced).run().Trace_;
  return Result;
}

Verdict play(const Scenario &Played) {
  return play(Played, [] { return std::make_unique<FleetStrategy>(); });
}

} // namespace lychee::scenario
