#ifndef LYCHEE_DISPATCH_DECAYINGRATE_H
#define LYCHEE_DISPATCH_DECAYINGRATE_H

#include "base/Time.h"

#include <cmath>

namespace lychee::dispatch {

/// Rate of an amount per second, averaged over the last seconds with
/// exponentially decaying weight.
class DecayingRate {
public:
  /// Time constant of the decay. Long enough to average some tens of requests
  /// at a host, short enough to follow callers that move to other hosts.
  static constexpr base::Duration DecayTime = std::chrono::seconds(2);

  void add(double Amount, base::TimePoint Now) noexcept {
    decay(Now);
    Sum_ += Amount;
  }

  double perSecond(base::TimePoint Now) noexcept {
    decay(Now);
    return Sum_ / base::toSeconds(DecayTime);
  }

private:
  void decay(base::TimePoint Now) noexcept {
    Sum_ *=
        std::exp(-base::toSeconds(Now - Updated_) / base::toSeconds(DecayTime));
    Updated_ = Now;
  }

  double Sum_ = 0;
  base::TimePoint Updated_;
};

} // namespace lychee::dispatch

#endif
