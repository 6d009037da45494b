#ifndef LYCHEE_GATEWAY_RETRYAFTER_H
#define LYCHEE_GATEWAY_RETRYAFTER_H

#include "base/Time.h"

#include <optional>
#include <string_view>

namespace lychee::gateway {

/// Longest time that a Retry-After is taken to mean; a longer one cannot be
/// told from an error.
inline constexpr base::Duration MaxRetryAfter = std::chrono::hours(24 * 365);

/// Reads the value of a Retry-After header (RFC 9110 10.2.3): seconds, with or
/// without a fraction, or a date in one of the three forms of RFC 9110 5.6.7.
/// \returns the time from \p Now on, zero for a date that has passed; nothing
/// where the value is neither a number from 0 on nor a date.
std::optional<base::Duration> parseRetryAfter(std::string_view Text,
                                              base::WallPoint Now);

} // namespace lychee::gateway

#endif
