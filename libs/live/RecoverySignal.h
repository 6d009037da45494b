#ifndef LYCHEE_LIVE_RECOVERYSIGNAL_H
#define LYCHEE_LIVE_RECOVERYSIGNAL_H

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lychee::live {

/// Wakes all followers that pause after a store failure as soon as one of them
/// gets a response.
///
/// Failure: a host is cut off for seconds, and each kind of object is retried
/// with pauses of its own. Without the signal one kind recovers at once and
/// another 3 s later, and requests are sent to a target that left in the
/// meantime. With the signal one kind retries often and the others follow it,
/// so that there are few calls to a store that refuses them; refused calls are
/// paid for, too.
///
/// Used on the thread of one event loop. \see ObjectFollower
class RecoverySignal {
public:
  RecoverySignal() = default;
  RecoverySignal(const RecoverySignal &) = delete;
  RecoverySignal &operator=(const RecoverySignal &) = delete;

  /// Waits until notify() is called, at most for \p MaxWait. Returns
  /// immediately if notify() was called after \p Since: a call that hung when
  /// the failure began may end after the store has recovered, and must not
  /// pause then.
  boost::asio::awaitable<void> wait(base::Duration MaxWait,
                                    base::TimePoint Since);

  /// Signals that the store responded after a failure.
  void notify(base::TimePoint Now);

private:
  base::TimePoint NotifiedAt_;
  std::vector<boost::asio::steady_timer *> Waiters_;
};

} // namespace lychee::live

#endif
