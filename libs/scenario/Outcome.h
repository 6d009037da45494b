#ifndef LYCHEE_SCENARIO_OUTCOME_H
#define LYCHEE_SCENARIO_OUTCOME_H

#include "steering/Steering.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lychee::scenario {

/// What the callers of one load got.
struct LoadOutcome {
  std::string Label_;
  std::string Customer_;
  /// Of answered requests, from the caller's send to the answer's end.
  std::vector<double> LatencyMilliseconds_;
  std::uint64_t Asked_ = 0;
  /// Asked within the customer's rate and burst, counted over the fleet.
  std::uint64_t Conforming_ = 0;
  std::uint64_t ConformingAnswered_ = 0;
  /// Refused although within the customer's rate.
  std::uint64_t WronglyRefused_ = 0;
  /// Neither answered nor refused: the host died, or the scenario ended.
  std::uint64_t Lost_ = 0;
  std::map<steering::Refusal, std::uint64_t> Refused_;

  std::uint64_t refused() const noexcept;
};

/// What must never happen; each counts its occurrences. \see Monitor
struct Violations {
  /// Requests let in above a customer's rate and burst over all hosts.
  std::uint64_t OverRate_ = 0;
  /// Sends that put more into a region than its listed targets have slots.
  std::uint64_t OverCapacity_ = 0;
  /// Requests moved by a shift plan above its cap.
  std::uint64_t OverCap_ = 0;
  /// Non-idempotent requests that began to run more than once.
  std::uint64_t RanTwice_ = 0;
  /// Refusals that said "not run" of a request that had run.
  std::uint64_t FalseNotRun_ = 0;

  std::uint64_t sum() const noexcept {
    return OverRate_ + OverCapacity_ + OverCap_ + RanTwice_ + FalseNotRun_;
  }
};

/// What one run of a scenario came to.
struct Outcome {
  std::vector<LoadOutcome> Loads_;
  Violations Violations_;
  /// Most requests sent into one region's targets at once, as a share of their
  /// slots.
  double PeakUse_ = 0;
  /// Share of slots that were free in the region with the least, at the fifth
  /// percentile of samples.
  double Headroom_ = 1;
  /// Largest share of a plan's callers that was moved.
  std::map<std::string, double> MovedShare_;
  std::uint64_t TargetsCrashed_ = 0;
  /// Requests sent to a leaving target.
  std::uint64_t SentToLeaving_ = 0;
  /// From the drain to the end of the last work there.
  double DrainMilliseconds_ = 0;
  /// Second and later sends of a request.
  std::uint64_t Resends_ = 0;
  std::uint64_t Sends_ = 0;
  /// Serial numbers of requests that a trace should show: of violations first,
  /// then the slowest and the wrongly refused.
  std::vector<std::uint64_t> Offenders_;
  /// Lines of the requests that a trace was asked for.
  std::vector<std::string> Trace_;

  /// \returns what the loads of \p Label got, all where it is empty; a
  /// customer's name takes in each of its keys.
  LoadOutcome merged(const std::string &Label) const;
};

/// \returns the value below which \p Share of the samples lie, 0 of none.
double quantile(std::vector<double> Samples, double Share);

} // namespace lychee::scenario

#endif
