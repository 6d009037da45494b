#ifndef LYCHEE_RELAYING_FRESHNESSTIMEOUTS_H
#define LYCHEE_RELAYING_FRESHNESSTIMEOUTS_H

#include "base/Time.h"
#include "live/Intent.h"

#include <algorithm>

namespace lychee::relaying {

/// Divides the time within which a change must be in force everywhere into
/// steps, from the watch that should report it to the host that reads the store
/// itself because no other host reported the change. Each step leaves time for
/// the next: a call to the store, the response to a poll, and the interval at
/// which hosts check. \see RelayRole, live::ObjectFollower
struct FreshnessTimeouts {
  /// Length of a watch. The store is known to respond at least this often.
  base::Duration Watch_{};
  /// A watch that stays silent for this much longer has failed unnoticed.
  base::Duration WatchGrace_{};
  /// If a reader's updates are older than this, it is skipped in favour of the
  /// next host in rank.
  base::Duration SkipReaderAfter_{};
  /// If all updates are older than this, the host with the first rank reads the
  /// store itself.
  base::Duration ReadStoreAfter_{};
  /// The host with the last rank reads the store this much later than the
  /// first, so that not all hosts read it at the same time.
  base::Duration ReadStoreSpread_{};
};

/// \param Bound time within which a change must be known everywhere.
inline FreshnessTimeouts freshnessTimeoutsFor(base::Duration Bound) noexcept {
  constexpr base::Duration MaxTime = std::chrono::seconds(4);
  const double Seconds = base::toSeconds(std::min(Bound, MaxTime));
  return {base::fromSeconds(Seconds * 0.3), base::fromSeconds(Seconds * 0.125),
          base::fromSeconds(Seconds * 0.5), base::fromSeconds(Seconds * 0.8),
          base::fromSeconds(Seconds * 0.05)};
}

/// Changes of the intent and of targets take the same path, so the strictest of
/// their bounds counts.
inline FreshnessTimeouts
freshnessTimeoutsFor(const live::DeploymentBounds &Bounds) noexcept {
  return freshnessTimeoutsFor(
      std::min(Bounds.ChangeInForce_, Bounds.TargetDrain_));
}

} // namespace lychee::relaying

#endif
