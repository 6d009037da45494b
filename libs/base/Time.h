#ifndef LYCHEE_BASE_TIME_H
#define LYCHEE_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace lychee::base {

/// Spans of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// The clock of this host that never steps back and that counts while the
/// process is stopped. It has no `now()` on purpose: a function that decides
/// takes the present time as an argument, so that it can be played in virtual
/// time. \see SystemClock, the one place that reads the machine's clocks.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Time of day, as operators write it into plans. Hosts' readings differ by
/// up to the clock skew that the fleet allows; nothing that must exclude
/// another host may rest on it.
struct WallClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

using TimePoint = MonotonicClock::time_point;
using WallPoint = WallClock::time_point;

/// \returns \p Span in seconds, as a floating-point number.
constexpr double toSeconds(Duration Span) noexcept {
  return std::chrono::duration<double>(Span).count();
}

/// \returns \p Span in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration Span) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

/// \returns \p Seconds as a Duration, rounded towards zero.
constexpr Duration fromSeconds(double Seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace lychee::base

#endif
