#ifndef LYCHEE_BUDGET_TOKENBUCKET_H
#define LYCHEE_BUDGET_TOKENBUCKET_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::budget {

/// Tokens are billionths of a request, so that rates below one request per
/// second fill exactly.
inline constexpr std::int64_t TokensPerRequest = 1'000'000'000;

/// A token bucket with integer arithmetic. It starts empty: if it started full,
/// each restart would grant a burst, and a fleet restarted ten times in a
/// minute would grant a customer ten bursts. Not thread-safe. \see RateShare,
/// which sets its limits.
class TokenBucket {
public:
  /// \param Start  the time from which it fills.
  explicit TokenBucket(base::TimePoint Start) noexcept : Last_(Start) {}

  /// Sets the rate in millionths of a request per second and the burst in
  /// tokens. Tokens above the new burst are dropped.
  void setLimits(std::int64_t MicroRequestsPerSecond, std::int64_t Burst,
                 base::TimePoint Now) noexcept;

  /// Takes \p Cost tokens, all or none.
  bool take(std::int64_t Cost, base::TimePoint Now) noexcept;

  /// Takes up to \p Wanted tokens.
  /// \returns the number of tokens taken.
  std::int64_t takeUpTo(std::int64_t Wanted, base::TimePoint Now) noexcept;

  /// Adds tokens that a peer removed from its bucket. Tokens above the burst
  /// are dropped.
  void add(std::int64_t Tokens, base::TimePoint Now) noexcept;

  /// \returns the number of tokens at \p Now.
  std::int64_t level(base::TimePoint Now) noexcept;

  /// \returns the time until \p Cost tokens are available if none is taken, or
  /// Duration::max() if they never will be.
  base::Duration timeUntil(std::int64_t Cost, base::TimePoint Now) noexcept;

private:
  void fill(base::TimePoint Now) noexcept;

  std::int64_t MicroRate_ = 0;
  std::int64_t Burst_ = 0;
  std::int64_t Level_ = 0;
  /// Fraction of a token left by the last fill. \see UnitsPerToken
  std::int64_t Remainder_ = 0;
  base::TimePoint Last_;
};

} // namespace lychee::budget

#endif
