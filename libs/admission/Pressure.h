#ifndef LYCHEE_ADMISSION_PRESSURE_H
#define LYCHEE_ADMISSION_PRESSURE_H

#include "base/Time.h"

namespace lychee::admission {

/// Tells a burst from saturation: the part of the last seconds during which a
/// customer had requests in line.
///
/// A burst stands in line once and then the line is empty; under saturation the
/// line is empty for moments only. A rule that looks at the time since it was
/// last empty takes each of these moments for the end of the saturation, and
/// lets the line grow to the full deadline again (measured: p99 of 1,840 ms
/// instead of the 200 ms that were asked for).
///
/// Not thread-safe: part of its owner.
class Pressure {
public:
  /// Notes whether requests are in line, as it has been since the last note.
  /// \param Memory  how far back counts.
  void note(bool InLine, base::TimePoint Now, base::Duration Memory) noexcept {
    if (Now <= At_)
      return;
    const double Time = base::toSeconds(Now - At_);
    const double Weight = Time / (Time + base::toSeconds(Memory));
    Part_ += ((InLine ? 1 : 0) - Part_) * Weight;
    At_ = Now;
  }

  double part() const noexcept { return Part_; }

private:
  double Part_ = 0;
  base::TimePoint At_;
};

} // namespace lychee::admission

#endif
