#ifndef LYCHEE_DISPATCH_COLDTARGETRATELIMITER_H
#define LYCHEE_DISPATCH_COLDTARGETRATELIMITER_H

#include "base/Time.h"

namespace lychee::dispatch {

/// Limits the rate of requests to one cold target.
///
/// Load pattern: a target starts, or an availability zone comes back, and every
/// host sends to it at once, so that it crashes. The rate that a cold target
/// withstands applies to all hosts together, so a single host, elected by hash,
/// sends to it. For about a second after a host fails, until the others notice,
/// two hosts may both consider themselves elected; HostShare keeps their sum
/// within the bound.
class ColdTargetRateLimiter {
public:
  /// Share of the rate that one host uses: two hosts at once then send 1.5
  /// times the rate, which is the bound that deployments guarantee.
  static constexpr double HostShare = 0.75;

  /// Rate in requests per second where the operators state none. With a rate of
  /// 0, an ejected target would never be probed again, and with the last one
  /// ejected every request would be refused for good. Deployments that state a
  /// rate state 5.
  static constexpr double DefaultRatePerSecond = 5;

  /// \param RatePerSecond  as stated by the operators; 0: none is stated.
  /// \returns whether a request may be sent now, and counts it.
  bool tryAcquire(double RatePerSecond, base::TimePoint Now) noexcept;

private:
  base::TimePoint NextAllowed_;
};

} // namespace lychee::dispatch

#endif
