#ifndef LYCHEE_ADMISSION_USAGEMETER_H
#define LYCHEE_ADMISSION_USAGEMETER_H

#include "base/Time.h"

#include <cmath>

namespace lychee::admission {

/// Measures the number of slots recently in use: the slot time of requests that
/// ended within about the last second, with exponential decay. While requests
/// are queued it shows how fast the queue drains.
///
/// Not thread-safe: part of its owner.
class UsageMeter {
public:
  /// Time constant of the decay. Long enough for some tens of requests of 20
  /// ms, short enough to follow a burst while it lasts.
  static constexpr base::Duration TimeConstant = std::chrono::seconds(1);

  void add(base::Duration Took, base::TimePoint Now) noexcept {
    Slots_ = slots(Now) + base::toSeconds(Took) / base::toSeconds(TimeConstant);
    At_ = Now;
  }

  double slots(base::TimePoint Now) const noexcept {
    if (Now <= At_)
      return Slots_;
    return Slots_ * std::exp(-base::toSeconds(Now - At_) /
                             base::toSeconds(TimeConstant));
  }

private:
  double Slots_ = 0;
  base::TimePoint At_;
};

} // namespace lychee::admission

#endif
