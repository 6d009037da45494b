#ifndef LYCHEE_MEMBERS_DATAGRAMRATELIMITER_H
#define LYCHEE_MEMBERS_DATAGRAMRATELIMITER_H

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace lychee::members {

/// Limits the rate at which a host puts datagrams on its link (leaky bucket).
///
/// Load pattern: the same message goes to all hosts of a region. 20 datagrams
/// of several kilobytes sent in one burst overflow the queue of a small host's
/// link. The last ones are dropped, always for the same hosts, which then
/// consider the sender dead although it is alive.
class DatagramRateLimiter {
public:
  /// Less than links queue, and two thirds of what the smallest links (10
  /// Mbit/s) carry.
  static constexpr std::size_t BurstBytes = 16UL * 1024;
  static constexpr double BytesPerSecond = 800e3;

  /// Accounts for a datagram of \p Bytes if it may be sent now. A datagram
  /// larger than BurstBytes may be sent once the backlog is empty.
  /// \returns whether the datagram may be sent.
  bool tryAcquire(std::size_t Bytes, base::TimePoint Now) noexcept {
    const double Elapsed = base::toSeconds(Now - UpdatedAt_);
    Backlog_ = std::max(0.0, Backlog_ - Elapsed * BytesPerSecond);
    UpdatedAt_ = Now;
    const auto Size = static_cast<double>(Bytes);
    if (Backlog_ > 0 && Backlog_ + Size > BurstBytes)
      return false;
    Backlog_ += Size;
    return true;
  }

private:
  /// Estimated number of bytes that the link has not carried yet.
  double Backlog_ = 0;
  base::TimePoint UpdatedAt_;
};

} // namespace lychee::members

#endif
