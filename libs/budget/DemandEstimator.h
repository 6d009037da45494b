#ifndef LYCHEE_BUDGET_DEMANDESTIMATOR_H
#define LYCHEE_BUDGET_DEMANDESTIMATOR_H

#include "base/Time.h"

namespace lychee::budget {

/// How many requests a second a host is asked for by one customer: a count
/// that decays exponentially. Refused requests count too, since a host that
/// refuses for want of share must ask for more and not for less.
/// Not thread-safe. \see ExchangePolicy
class DemandEstimator {
public:
  /// \param Memory  time in which a count falls to 37%. Shorter follows a
  /// customer that moves between hosts sooner, longer asks peers less often.
  explicit DemandEstimator(base::Duration Memory = DefaultMemory) noexcept
      : Memory_(Memory) {}

  /// One second: ten requests of a customer at 10/s, the smallest of today's,
  /// estimate its rate to a third; ten peers' asks a second cost 1% of the
  /// 6 KB/s that a host may spend on control.
  static constexpr base::Duration DefaultMemory = std::chrono::seconds(1);

  void note(double Requests, base::TimePoint Now) noexcept;

  /// \returns requests a second.
  double ratePerSecond(base::TimePoint Now) const noexcept;

private:
  double decayed(base::TimePoint Now) const noexcept;

  base::Duration Memory_;
  double Count_ = 0;
  base::TimePoint Last_;
};

} // namespace lychee::budget

#endif
