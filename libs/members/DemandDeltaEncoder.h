#ifndef LYCHEE_MEMBERS_DEMANDDELTAENCODER_H
#define LYCHEE_MEMBERS_DEMANDDELTAENCODER_H

#include "members/Heartbeat.h"

#include <map>
#include <span>
#include <vector>

namespace lychee::members {

/// What a heartbeat tells of demands.
struct DemandUpdate {
  /// They are all there are; else those that changed since the last whole.
  bool IsFull_ = true;
  std::vector<CustomerDemand> Demands_;
};

/// Chooses which customers' demands a heartbeat tells.
///
/// Load pattern: hosts of a region x hosts x customers. Most demands are small
/// and stay what they are, so every fourth heartbeat tells all, and those
/// between only what has changed since then. A heartbeat that is lost is made
/// up for by the next.
///
/// What is told late costs: hosts divide a rate by demands of different age.
/// Few customers are therefore always told whole (RateDivisionTest: of a small
/// customer's requests within its rate 3.0 in 100 are refused with wholes, 3.5
/// with changes).
class DemandDeltaEncoder {
public:
  /// Changes smaller than this, in requests a second plus a part of what was
  /// told, are chance: one request more weighs 0.5 in the demand's average.
  static constexpr double Noise = 0.5;
  static constexpr double NoisePart = 0.05;
  /// Every so many heartbeats tell all demands.
  static constexpr std::uint64_t FullEvery = 4;
  /// So many customers are always told: some 300 bytes.
  static constexpr std::size_t AlwaysFullUpTo = 16;

  explicit DemandDeltaEncoder(std::size_t WholeUpTo = AlwaysFullUpTo) noexcept
      : WholeUpTo_(WholeUpTo) {}

  /// \returns what to tell: \p All where \p Whole or where they are few, else
  /// what differs from the last whole; what is no longer in \p All is told as
  /// 0.
  DemandUpdate encode(std::span<const CustomerDemand> All, bool Whole);

private:
  const std::size_t WholeUpTo_;
  std::map<base::CustomerId, double> Told_;
};

} // namespace lychee::members

#endif
