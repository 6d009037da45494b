#ifndef LYCHEE_MEMBERS_DEMANDDELTAENCODER_H
#define LYCHEE_MEMBERS_DEMANDDELTAENCODER_H

#include "members/Heartbeat.h"

#include <map>
#include <span>
#include <vector>

namespace lychee::members {

/// The customer demands that one heartbeat carries.
struct DemandUpdate {
  /// Whether Demands_ holds all demands; otherwise only those that changed
  /// since the last full update.
  bool IsFull_ = true;
  std::vector<CustomerDemand> Demands_;
};

/// Selects the customer demands that a heartbeat carries.
///
/// Load pattern: hosts of a region x hosts x customers. Most demands are small
/// and constant, so every fourth heartbeat carries all of them and the ones in
/// between only the changes since then. A lost heartbeat is compensated by the
/// next one.
///
/// Late updates have a cost, because hosts then divide a rate by demands of
/// different age. Small sets of customers are therefore always sent in full
/// (CustomerRateLimiterTest: of a small customer's requests within its
/// rate, 3.0 in 100 are refused with full updates and 3.5 with deltas).
class DemandDeltaEncoder {
public:
  /// Smallest change that is sent: MinChange requests per second plus
  /// MinChangeRatio of the last full value. Smaller changes are noise; one
  /// request more adds 0.5 to the demand's average.
  static constexpr double MinChange = 0.5;
  static constexpr double MinChangeRatio = 0.05;
  /// Every FullEvery-th heartbeat carries all demands.
  static constexpr std::uint64_t FullEvery = 4;
  /// Up to this many customers are always sent in full (about 300 bytes).
  static constexpr std::size_t AlwaysFullUpTo = 16;

  explicit DemandDeltaEncoder(std::size_t WholeUpTo = AlwaysFullUpTo) noexcept
      : FullUpTo_(WholeUpTo) {}

  /// \returns the update to send: \p All if \p Full is set or there are few
  /// customers; otherwise the demands that differ from the last full update.
  /// Customers that are no longer in \p All are sent with a demand of 0.
  DemandUpdate encode(std::span<const CustomerDemand> All, bool Full);

private:
  const std::size_t FullUpTo_;
  std::map<base::CustomerId, double> LastFull_;
};

} // namespace lychee::members

#endif
