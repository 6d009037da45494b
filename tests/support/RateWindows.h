#ifndef LYCHEE_TESTS_SUPPORT_RATEWINDOWS_H
#define LYCHEE_TESTS_SUPPORT_RATEWINDOWS_H

#include "base/Time.h"

#include <cstddef>
#include <span>

namespace lychee::tests {

// What is promised to a target that states a rate: in any RateWindow no more
// than AllowedRatio times what the rate allows, and AllowedMore requests, from
// RateSettlingTime after it first stated it.

inline constexpr base::Duration RateSettlingTime = std::chrono::seconds(3);
inline constexpr base::Duration RateWindow = std::chrono::seconds(4);
inline constexpr double AllowedRatio = 1.5;
inline constexpr double AllowedMore = 5;

/// \returns how many requests a target may get in a RateWindow.
/// \param PerSecond  the rate that it states.
inline double allowedInWindow(double PerSecond) noexcept {
  return AllowedRatio * PerSecond * base::toSeconds(RateWindow) + AllowedMore;
}

/// \returns the most requests in a RateWindow that begins at \p Begin or later.
/// \param Arrivals  in order.
std::size_t mostInWindow(std::span<const base::TimePoint> Arrivals,
                         base::TimePoint Begin);

} // namespace lychee::tests

#endif
