#ifndef LYCHEE_BASE_SYSTEMCLOCK_H
#define LYCHEE_BASE_SYSTEMCLOCK_H

#include "base/Time.h"

namespace lychee::base {

/// The machine's clocks. Programs and I/O code read them and hand the result
/// to the decision libraries, which never include this header.
/// \see MonotonicClock
class SystemClock {
public:
  SystemClock() = delete;

  /// CLOCK_BOOTTIME: goes on while a process is stopped and while the machine
  /// sleeps, so a lease measured by it runs out in either case.
  static TimePoint monotonicNow() noexcept;

  static WallPoint wallNow() noexcept;
};

} // namespace lychee::base

#endif
