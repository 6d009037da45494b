#include "base/SystemClock.h"

#include <ctime>

namespace lychee::base {

namespace {

Duration readClock(clockid_t Clock) noexcept {
  timespec Reading{};
  clock_gettime(Clock, &Reading);
  return std::chrono::seconds(Reading.tv_sec) +
         std::chrono::nanoseconds(Reading.tv_nsec);
}

} // namespace

TimePoint SystemClock::monotonicNow() noexcept {
  return TimePoint(readClock(CLOCK_BOOTTIME));
}

WallPoint SystemClock::wallNow() noexcept {
  return WallPoint(readClock(CLOCK_REALTIME));
}

} // namespace lychee::base
