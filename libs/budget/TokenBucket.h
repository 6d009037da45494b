#ifndef LYCHEE_BUDGET_TOKENBUCKET_H
#define LYCHEE_BUDGET_TOKENBUCKET_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::budget {

/// Tokens are counted in billionths of a request, so that rates of less than
/// one request a second fill exactly.
inline constexpr std::int64_t TokensPerRequest = 1'000'000'000;

/// A token bucket with whole-number arithmetic. It starts empty: a bucket that
/// started full would hand out a burst at each restart, and a fleet restarted
/// ten times in a minute would give a customer ten bursts.
/// Not thread-safe. \see RateShare, which decides its limits.
class TokenBucket {
public:
  /// \param FirstNow  the time from which it fills.
  explicit TokenBucket(base::TimePoint FirstNow) noexcept : Last_(FirstNow) {}

  /// Sets the rate in millionths of a request a second and the burst in
  /// tokens. Tokens above the new burst are dropped.
  void setLimits(std::int64_t MicroRequestsPerSecond, std::int64_t Burst,
                 base::TimePoint Now) noexcept;

  /// Takes \p Cost tokens, all or none.
  bool take(std::int64_t Cost, base::TimePoint Now) noexcept;

  /// Takes up to \p Wanted tokens and \returns how many it took.
  std::int64_t takeUpTo(std::int64_t Wanted, base::TimePoint Now) noexcept;

  /// Adds tokens that a peer took off its own bucket; above the burst they are
  /// dropped.
  void add(std::int64_t Tokens, base::TimePoint Now) noexcept;

  /// \returns the tokens there are at \p Now.
  std::int64_t level(base::TimePoint Now) noexcept;

  /// \returns how long until \p Cost tokens are there if none is taken, or
  /// Duration::max() where they never will be.
  base::Duration timeUntil(std::int64_t Cost, base::TimePoint Now) noexcept;

private:
  void fill(base::TimePoint Now) noexcept;

  std::int64_t MicroRate_ = 0;
  std::int64_t Burst_ = 0;
  std::int64_t Level_ = 0;
  /// What the last fill could not turn into a whole token.
  std::int64_t Remainder_ = 0;
  base::TimePoint Last_;
};

} // namespace lychee::budget

#endif
