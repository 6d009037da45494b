#ifndef LYCHEE_MEMBERS_DATAGRAMPACE_H
#define LYCHEE_MEMBERS_DATAGRAMPACE_H

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace lychee::members {

/// How many bytes of datagrams a host may put on its link at once.
///
/// Load pattern: the same text goes to all hosts of a region. Sent at once, 20
/// datagrams of some kilobytes are more than the queue of a small host's link
/// holds; the last ones are dropped, always for the same hosts, and these take
/// the sender for dead though it never was.
class DatagramPace {
public:
  /// A fraction of what links queue, and two thirds of what the smallest links
  /// (10 Mbit/s) carry.
  static constexpr std::size_t BurstBytes = 16UL * 1024;
  static constexpr double BytesPerSecond = 800e3;

  /// \returns whether a datagram may leave now, and counts it. One that is
  /// larger than a burst leaves once nothing is owed.
  bool take(std::size_t Bytes, base::TimePoint Now) noexcept {
    const double Passed = base::toSeconds(Now - Counted_);
    Owed_ = std::max(0.0, Owed_ - Passed * BytesPerSecond);
    Counted_ = Now;
    const auto Size = static_cast<double>(Bytes);
    if (Owed_ > 0 && Owed_ + Size > BurstBytes)
      return false;
    Owed_ += Size;
    return true;
  }

private:
  /// Bytes that the link has most likely not carried yet.
  double Owed_ = 0;
  base::TimePoint Counted_;
};

} // namespace lychee::members

#endif
