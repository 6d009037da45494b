#ifndef LYCHEE_MEMBERS_DEMANDTELLER_H
#define LYCHEE_MEMBERS_DEMANDTELLER_H

#include "members/Heartbeat.h"

#include <map>
#include <span>
#include <vector>

namespace lychee::members {

/// Chooses which customers' demands a heartbeat tells.
///
/// Load pattern: hosts x hosts x customers. With 60 hosts and 72 customers,
/// heartbeats that tell every customer were 0.6 GB between regions in 50 s, the
/// second largest price of the day. Most demands are small and stay what they
/// are, so every fourth heartbeat tells all, and those between only what has
/// changed since then. A heartbeat that is lost is made up for by the next.
class DemandTeller {
public:
  /// Changes smaller than this, in requests a second plus a part of what was
  /// told, are chance: one request more weighs 0.5 in the demand's average.
  static constexpr double Noise = 0.6;
  static constexpr double NoisePart = 0.2;
  /// Every so many heartbeats tell all demands.
  static constexpr std::uint64_t WholeEvery = 4;

  /// \returns what to tell: \p All where \p Whole, else what differs from the
  /// last whole; what is no longer in \p All is told as 0.
  std::vector<CustomerDemand> tell(std::span<const CustomerDemand> All,
                                   bool Whole);

private:
  std::map<base::CustomerId, double> Told_;
};

} // namespace lychee::members

#endif
