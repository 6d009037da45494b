#ifndef LYCHEE_DISPATCH_COLDTARGETRATELIMITER_H
#define LYCHEE_DISPATCH_COLDTARGETRATELIMITER_H

#include "base/Time.h"

namespace lychee::dispatch {

/// Requests to one cold target.
///
/// Load pattern: a target starts, or a zone comes back, and every host sends to
/// it at once: it crashes. The rate that it stands holds for all hosts
/// together, so one host alone, picked by hash, sends to it. Two hosts that
/// disagree on who is picked, for the second or so that a host's end takes to
/// be noticed, stay together below the bound, since each takes HostPart of it.
class ColdTargetRateLimiter {
public:
  /// Two hosts at once then make 1.5 times the rate, which is the bound that
  /// deployments promise.
  static constexpr double HostPart = 0.75;

  /// Where the operators state no rate. Failure without it: a target that was
  /// out once is to be sounded at a rate of 0, which is never, and with the
  /// last one out every request is refused for good. Deployments that state a
  /// rate state 5.
  static constexpr double UnstatedRate = 5;

  /// \param RatePerSecond  0: the operators state none.
  /// \returns whether a request may be sent now, and counts it.
  bool take(double RatePerSecond, base::TimePoint Now) noexcept;

private:
  base::TimePoint Next_;
};

} // namespace lychee::dispatch

#endif
