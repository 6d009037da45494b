#ifndef LYCHEE_ADMISSION_OCCUPANCYMETER_H
#define LYCHEE_ADMISSION_OCCUPANCYMETER_H

#include "base/Time.h"

namespace lychee::admission {

/// Measures the fraction of recent time during which a customer had queued
/// requests, to tell a burst from saturation.
///
/// A burst fills the queue once, and then the queue is empty; under saturation
/// it is empty only for moments. A rule based on the time since the queue was
/// last empty takes each of these moments for the end of the saturation, and
/// lets the queue grow to the full deadline again: p99 of 1,840 ms instead of
/// the intended 200 ms.
///
/// Not thread-safe: part of its owner.
class OccupancyMeter {
public:
  /// Records whether requests are queued, as has been the case since the last
  /// call.
  /// \param Window  time constant of the decaying mean.
  void record(bool IsQueued, base::TimePoint Now,
              base::Duration Window) noexcept {
    if (Now <= At_)
      return;
    const double Time = base::toSeconds(Now - At_);
    const double Weight = Time / (Time + base::toSeconds(Window));
    Fraction_ += ((IsQueued ? 1 : 0) - Fraction_) * Weight;
    At_ = Now;
  }

  /// \returns a fraction from 0 to 1.
  double fraction() const noexcept { return Fraction_; }

private:
  double Fraction_ = 0;
  base::TimePoint At_;
};

} // namespace lychee::admission

#endif
