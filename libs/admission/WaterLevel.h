#ifndef LYCHEE_ADMISSION_WATERLEVEL_H
#define LYCHEE_ADMISSION_WATERLEVEL_H

#include <span>

namespace lychee::admission {

/// Demand of one customer, in requests per second over all hosts.
struct WeightedDemand {
  double PerSecond_ = 0;
  double Weight_ = 1;
};

/// Computes weighted max-min fairness: the level at which the sum over
/// customers of min(demand, level x weight) is \p Share of the total demand.
/// \param Share  between 0 and 1.
/// \returns infinity where all demands are served in full.
double waterLevel(std::span<const WeightedDemand> Demands, double Share);

} // namespace lychee::admission

#endif
