#ifndef LYCHEE_RELAYING_RELAYCOPYLIMITER_H
#define LYCHEE_RELAYING_RELAYCOPYLIMITER_H

#include "base/Time.h"

#include <cstddef>

namespace lychee::relaying {

/// Decides whether a host that asks the store tells another a change itself,
/// or leaves it to fetch the change from the store.
///
/// Load pattern: one change of some hundred kilobytes, and every host of the
/// region asks for it within a few hundred milliseconds. What goes wrong
/// without a bound: a small host spends its link and processor on copies,
/// whoever asked gives up and asks again, and what the store tells the host
/// itself waits behind the copies. The hosts that should know first know last.
///
/// So changes up to SmallBytes go to everybody. Larger ones go only to hosts
/// that the store refuses, which cannot fetch them, and at a bounded rate that
/// leaves most of a small link to requests. Everybody else fetches the change
/// over its own link to the store, once.
///
/// Of one thread. \see RelayRole
class RelayCopyLimiter {
public:
  static constexpr std::size_t SmallBytes = std::size_t{32} << 10;
  /// Of large changes, in all.
  static constexpr double LargeBytesPerSecond = 256 << 10;

  /// \param Bytes  of the change as text. \param Refused  the host that asks
  /// cannot fetch it from the store.
  /// \returns whether the change is told; it counts as told then.
  bool tryAcquire(std::size_t Bytes, bool Refused,
                  base::TimePoint Now) noexcept;

private:
  /// By then the large changes that were told have gone out at the bounded
  /// rate.
  base::TimePoint FreeAt_;
};

} // namespace lychee::relaying

#endif
