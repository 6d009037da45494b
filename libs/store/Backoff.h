#ifndef LYCHEE_STORE_BACKOFF_H
#define LYCHEE_STORE_BACKOFF_H

#include "base/Random.h"
#include "base/Time.h"

namespace lychee::store {

/// Waits between tries that double up to a bound, each drawn from the upper
/// half of its span: hosts that failed together do not come back together,
/// and none comes back at once.
class Backoff {
public:
  /// A healthy store answers in milliseconds: one try later is soon enough.
  static constexpr base::Duration Shortest = std::chrono::milliseconds(50);
  /// Keys withdrawn must reach every host within 5 s of the store's return.
  static constexpr base::Duration Longest = std::chrono::seconds(2);

  Backoff() = default;
  /// \param Most  bound of a wait, where Longest is not the right one.
  explicit Backoff(base::Duration Most) noexcept : Most_(Most) {}

  base::Duration next(base::Random &Source);

  /// To be called after a success.
  void reset() noexcept { Span_ = Shortest; }

private:
  base::Duration Most_ = Longest;
  base::Duration Span_ = Shortest;
};

} // namespace lychee::store

#endif
