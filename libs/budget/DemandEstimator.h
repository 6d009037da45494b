#ifndef LYCHEE_BUDGET_DEMANDESTIMATOR_H
#define LYCHEE_BUDGET_DEMANDESTIMATOR_H

#include "base/Time.h"

namespace lychee::budget {

/// Estimates the rate of one customer's requests at a host by a count that
/// decays exponentially. Refused requests count as well, because a host that
/// refuses for lack of share must request more and not less. Not thread-safe.
/// \see ExchangePolicy
class DemandEstimator {
public:
  /// \param TimeConstant  time in which the count decays to 37%. A shorter one
  /// adapts sooner to a customer that moves between hosts, a longer one causes
  /// fewer requests to peers.
  explicit DemandEstimator(
      base::Duration TimeConstant = DefaultTimeConstant) noexcept
      : TimeConstant_(TimeConstant) {}

  /// With one second, ten requests of a customer at 10 per second, the lowest
  /// rate in use, estimate its rate to within a third. Share requests of ten
  /// peers per second use 1% of the 6 KB/s that a host may spend on control
  /// traffic.
  static constexpr base::Duration DefaultTimeConstant = std::chrono::seconds(1);

  void record(double Requests, base::TimePoint Now) noexcept;

  /// \returns requests per second.
  double ratePerSecond(base::TimePoint Now) const noexcept;

private:
  double decayed(base::TimePoint Now) const noexcept;

  base::Duration TimeConstant_;
  double Count_ = 0;
  base::TimePoint Last_;
};

} // namespace lychee::budget

#endif
