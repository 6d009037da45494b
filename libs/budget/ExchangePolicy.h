#ifndef LYCHEE_BUDGET_EXCHANGEPOLICY_H
#define LYCHEE_BUDGET_EXCHANGEPOLICY_H

#include "base/Time.h"
#include "budget/ShareAmount.h"

#include <cstdint>

namespace lychee::budget {

/// The state of a host's own share of one budget, from which it decides what to
/// request or to grant.
struct ShareState {
  ShareAmount Held_;
  /// Demand at this host, as parts of the total's rate.
  Parts Demand_ = 0;
  /// Tokens held, and the total's burst, in billionths of a request.
  std::int64_t Level_ = 0;
  std::int64_t Burst_ = 0;
  /// Tokens that this host's demand uses during one exchange with a peer.
  std::int64_t NearTermDemand_ = 0;
  /// Number of hosts in the epoch.
  std::uint32_t Hosts_ = 1;
};

/// An amount to request from peers, or to grant to one.
struct ExchangeAmount {
  ShareAmount Parts_;
  std::int64_t Tokens_ = 0;

  bool isEmpty() const noexcept { return Parts_.isEmpty() && Tokens_ <= 0; }
};

/// Moves shares to the hosts that receive a customer's requests.
///
/// Load pattern: a customer's callers connect to one or two of the hosts, and
/// move when a host stops. With an equal share at each host, a customer well
/// within its rate would be refused nine tenths of it.
///
/// A host requests parts when it holds less than its demand with a margin, or
/// when its tokens do not last until a peer could respond. A peer grants what
/// it does not need itself above a floor. The floor lets the first requests of
/// a quiet customer be admitted without waiting for a peer.
/// \see RateBudgets, docs/design/budget.md for the figures
struct ExchangePolicy {
  /// A host holds this multiple of its demand: Poisson arrivals of 10 per
  /// second over the one second of DemandEstimator vary by a third.
  double DemandMargin_ = 1.35;
  /// Fraction of an equal share that a host never donates.
  double Floor_ = 0.1;

  /// \returns what to request from peers; empty if the share suffices.
  ExchangeAmount amountToRequest(const ShareState &Own) const noexcept;

  /// \returns what a donor can spare of the requested amount.
  ExchangeAmount amountToGrant(const ShareState &Own, Parts RequestedRate,
                               std::int64_t RequestedTokens) const noexcept;

  /// \returns the parts of the rate that a donor can spare, for heartbeats.
  Parts spareRate(const ShareState &Own) const noexcept;

  /// \returns the tokens that a donor can spare.
  std::int64_t spareTokens(const ShareState &Own) const noexcept;

private:
  Parts needed(const ShareState &Own) const noexcept;
  Parts floorOf(const ShareState &Own) const noexcept;
};

} // namespace lychee::budget

#endif
