#ifndef LYCHEE_RELAYING_RELAYCOPYLIMITER_H
#define LYCHEE_RELAYING_RELAYCOPYLIMITER_H

#include "base/Time.h"

#include <cstddef>

namespace lychee::relaying {

/// Decides whether a host that reads the store sends a change to another host,
/// or leaves it to that host to fetch the change from the store.
///
/// Load pattern: one change of several hundred kilobytes, which every host of
/// the region requests within a few hundred milliseconds. Without a limit a
/// small host spends its link and its processor on copies, requesters time out
/// and ask again, and what the store sends to the host itself waits behind the
/// copies. The hosts that should receive changes first then receive them last.
///
/// Changes of up to SmallBytes are therefore sent to every host. Larger ones
/// are sent only to hosts that cannot reach the store, and at a limited rate
/// that leaves most of a small link to requests. All other hosts fetch the
/// change once over their own connection to the store.
///
/// Used on one thread. \see RelayRole
class RelayCopyLimiter {
public:
  static constexpr std::size_t SmallBytes = std::size_t{32} << 10;
  /// Limit for all large changes together.
  static constexpr double LargeBytesPerSecond = 256 << 10;

  /// \param Bytes size of the change as text.
  /// \param StoreUnavailable the requesting host cannot fetch the change from
  /// the store.
  /// \returns whether to send the change; if so, it counts against the limit.
  bool tryAcquire(std::size_t Bytes, bool StoreUnavailable,
                  base::TimePoint Now) noexcept;

private:
  /// Time at which the large changes sent so far use up no more than the limit.
  base::TimePoint NextLargeCopy_;
};

} // namespace lychee::relaying

#endif
