#ifndef LYCHEE_BUDGET_EXCHANGEPOLICY_H
#define LYCHEE_BUDGET_EXCHANGEPOLICY_H

#include "base/Time.h"
#include "budget/ShareAmount.h"

#include <cstdint>

namespace lychee::budget {

/// What a host knows of its own share of one budget when it decides to ask or
/// to give.
struct ShareState {
  ShareAmount Held_;
  /// Own demand, as parts of the total's rate.
  Parts Demand_ = 0;
  /// Tokens there are, and the total's burst, in billionths of a request.
  std::int64_t Level_ = 0;
  std::int64_t Burst_ = 0;
  /// Tokens that the own demand uses within one exchange with a peer.
  std::int64_t Soon_ = 0;
  /// Hosts of the epoch.
  std::uint32_t Hosts_ = 1;
};

/// What to ask of peers, or to give to one.
struct ExchangeAmount {
  ShareAmount Parts_;
  std::int64_t Tokens_ = 0;

  bool isNothing() const noexcept { return Parts_.isNothing() && Tokens_ <= 0; }
};

/// Moves shares to where a customer's requests come in.
///
/// Load it answers: a customer's callers sit on one or two of the hosts, and
/// move when a host stops. Without it each host holds an equal share, and a
/// customer well inside its rate is refused on nine tenths of it.
///
/// A host asks when it holds less than its demand with a margin, or when its
/// tokens do not last until a peer could answer. A peer gives what it does not
/// need itself above a floor; the floor lets the first requests of a quiet
/// customer in without waiting for anyone.
/// \see RateBudgets, docs/design/budget.md for the figures
struct ExchangePolicy {
  /// A host holds this times its demand: Poisson arrivals of 10/s over the one
  /// second of DemandEstimator vary by a third.
  double DemandMargin_ = 1.35;
  /// Share of an equal share that a host never gives away.
  double Floor_ = 0.1;

  /// \returns what to ask for, nothing where the share does.
  ExchangeAmount wanted(const ShareState &Own) const noexcept;

  /// \returns what a donor can spare of what was asked.
  ExchangeAmount granted(const ShareState &Own, Parts AskedRate,
                         std::int64_t AskedTokens) const noexcept;

  /// \returns parts of the rate that a donor could spare, for heartbeats.
  Parts spareRate(const ShareState &Own) const noexcept;

  /// \returns tokens that a donor could spare.
  std::int64_t spareTokens(const ShareState &Own) const noexcept;

private:
  Parts needed(const ShareState &Own) const noexcept;
  Parts floorOf(const ShareState &Own) const noexcept;
};

} // namespace lychee::budget

#endif
