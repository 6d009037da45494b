#ifndef LYCHEE_RELAYING_FRESHNESSTIMEOUTS_H
#define LYCHEE_RELAYING_FRESHNESSTIMEOUTS_H

#include "base/Time.h"

#include <algorithm>

namespace lychee::relaying {

/// How the time in which a change must be in force everywhere is spent, from
/// the watch that should tell of it to the host that asks since nobody did.
/// Each span leaves room for the next: a call, the answer to a question, and
/// the pace at which hosts look. \see RelayRole, live::ObjectFollower
struct FreshnessTimeouts {
  /// Length of a watch: the store is known to have answered so often.
  base::Duration Watch_{};
  /// A watch that is silent for so much longer has ended unheard.
  base::Duration WatchGrace_{};
  /// News older than this: who told them is passed over for the next in line.
  base::Duration PassOver_{};
  /// News older than this: the first host asks itself.
  base::Duration Ask_{};
  /// The last host asks so much later, so that not all ask at once.
  base::Duration AskSpread_{};
};

/// \param ChangeInForce  the time in which a change must be in force.
inline FreshnessTimeouts
freshnessTimeoutsFor(base::Duration ChangeInForce) noexcept {
  // Changes of targets and zones come the same way, and may have less time.
  constexpr base::Duration Longest = std::chrono::seconds(4);
  const double Seconds = base::toSeconds(std::min(ChangeInForce, Longest));
  return {base::fromSeconds(Seconds * 0.3), base::fromSeconds(Seconds * 0.125),
          base::fromSeconds(Seconds * 0.5), base::fromSeconds(Seconds * 0.8),
          base::fromSeconds(Seconds * 0.05)};
}

} // namespace lychee::relaying

#endif
