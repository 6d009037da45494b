#ifndef LYCHEE_ADMISSION_USAGEMETER_H
#define LYCHEE_ADMISSION_USAGEMETER_H

#include "base/Time.h"

#include <cmath>

namespace lychee::admission {

/// Slots in use of late: slot time that ended in the last second or so, the
/// older counting less. Where a line stands, it tells how fast the line moves.
///
/// Not thread-safe: part of its owner.
class UsageMeter {
public:
  /// Long enough for some tens of requests of 20 ms, short enough to follow a
  /// burst while it lasts.
  static constexpr base::Duration Memory = std::chrono::seconds(1);

  void add(base::Duration Took, base::TimePoint Now) noexcept {
    Time_ = slots(Now) + base::toSeconds(Took) / base::toSeconds(Memory);
    At_ = Now;
  }

  double slots(base::TimePoint Now) const noexcept {
    if (Now <= At_)
      return Time_;
    return Time_ *
           std::exp(-base::toSeconds(Now - At_) / base::toSeconds(Memory));
  }

private:
  double Time_ = 0;
  base::TimePoint At_;
};

} // namespace lychee::admission

#endif
