#ifndef LYCHEE_SCENARIO_METRIC_H
#define LYCHEE_SCENARIO_METRIC_H

#include "scenario/Outcome.h"
#include "scenario/Scenario.h"

#include <span>
#include <string_view>

namespace lychee::scenario {

/// A measure that a scenario may expect something of.
struct Metric {
  enum class Unit { Milliseconds, Share, Count };

  std::string_view Name_;
  Unit Unit_ = Unit::Count;
  double (*Value_)(const Outcome &Result, const ExpectationSpec &Wanted);
};

std::span<const Metric> allMetrics() noexcept;

/// \returns null where there is none of that name.
const Metric *findMetric(std::string_view Name) noexcept;

/// \returns one line for each expectation that \p Result does not meet.
std::vector<std::string> unmetExpectations(const Scenario &Played,
                                           const Outcome &Result);

/// \returns p99 of the worst-served customer over that of the median one;
/// customers with fewer than 50 answers are left out.
double worstToMedian(const Outcome &Result);

/// \returns the least share of its conforming requests that a customer got
/// answered.
double leastShare(const Outcome &Result);

} // namespace lychee::scenario

#endif
