#ifndef LYCHEE_DISPATCH_DEMANDMETER_H
#define LYCHEE_DISPATCH_DEMANDMETER_H

#include "base/Time.h"

#include <cmath>

namespace lychee::dispatch {

/// An amount a second, averaged over the last seconds with fading weight.
class DemandMeter {
public:
  /// Long enough to average some tens of requests at a host, short enough to
  /// follow callers that move.
  static constexpr base::Duration Memory = std::chrono::seconds(2);

  void add(double Amount, base::TimePoint Now) noexcept {
    fade(Now);
    Sum_ += Amount;
  }

  double perSecond(base::TimePoint Now) noexcept {
    fade(Now);
    return Sum_ / base::toSeconds(Memory);
  }

private:
  void fade(base::TimePoint Now) noexcept {
    Sum_ *= std::exp(-base::toSeconds(Now - Last_) / base::toSeconds(Memory));
    Last_ = Now;
  }

  double Sum_ = 0;
  base::TimePoint Last_;
};

} // namespace lychee::dispatch

#endif
