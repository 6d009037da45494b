#ifndef LYCHEE_LIVE_RECOVERYSIGNAL_H
#define LYCHEE_LIVE_RECOVERYSIGNAL_H

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lychee::live {

/// Wakes those that wait after trouble with the store as soon as one of them
/// got an answer.
///
/// Failure: a host is cut off for seconds, and each kind of object is asked for
/// with pauses of its own. Symptom: after the cut has healed, one kind comes
/// back at once and another 3 s later, and a target that left meanwhile is sent
/// to. With the signal one kind asks often and the others come with it, so that
/// calls to a store that refuses them, which are paid for, stay few.
///
/// Of one event loop's thread. \see ObjectFollower
class RecoverySignal {
public:
  RecoverySignal() = default;
  RecoverySignal(const RecoverySignal &) = delete;
  RecoverySignal &operator=(const RecoverySignal &) = delete;

  /// Waits until announce(), for \p Longest at most; not at all where that was
  /// called since \p Since. A call that hung when the trouble began ends after
  /// the store is back, and must not pause then.
  boost::asio::awaitable<void> wait(base::Duration Longest,
                                    base::TimePoint Since);

  /// The store answered after trouble.
  void announce(base::TimePoint Now);

private:
  base::TimePoint Announced_;
  std::vector<boost::asio::steady_timer *> Waiting_;
};

} // namespace lychee::live

#endif
