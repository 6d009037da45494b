#ifndef LYCHEE_DISPATCH_RATEBUCKET_H
#define LYCHEE_DISPATCH_RATEBUCKET_H

#include "base/Time.h"

#include <optional>

namespace lychee::dispatch {

/// Tokens of a rate that changes with the other hosts' demand or with what a
/// target states. It starts empty: a fleet that restarts must not grant each
/// rate a second burst. \see budget::TokenBucket, in integers
class RateBucket {
public:
  RateBucket() = default;
  explicit RateBucket(base::TimePoint Start) noexcept : RefilledAt_(Start) {}

  /// Adds the tokens since the last refill. \param Capacity  tokens that it may
  /// hold.
  void refill(double PerSecond, double Capacity, base::TimePoint Now) noexcept;

  /// Takes a token.
  /// \param Reserved  tokens that are left for others.
  /// \returns nothing if there was one, else the time until there is one at
  /// \p PerSecond.
  std::optional<base::Duration> take(double PerSecond,
                                     double Reserved = 0) noexcept;

  /// Returns a token that was not needed.
  void refund() noexcept { Tokens_ += 1; }

  base::TimePoint refilledAt() const noexcept { return RefilledAt_; }

private:
  double Tokens_ = 0;
  base::TimePoint RefilledAt_;
};

} // namespace lychee::dispatch

#endif
