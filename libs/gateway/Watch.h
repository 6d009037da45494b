#ifndef LYCHEE_GATEWAY_WATCH_H
#define LYCHEE_GATEWAY_WATCH_H

#include "base/Time.h"

#include <boost/intrusive/list_hook.hpp>
#include <functional>

namespace lychee::gateway {

using WatchHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A bound on what a coroutine waits for: a time, and if wanted the caller
/// that may hang up. When it fires, the owner's function cancels the pending
/// operation, and the coroutine finds the cause here.
///
/// A timer an operation would cost two heap operations and a wakeup each; a
/// watch costs two stores, and the Watchdog looks at it every few milliseconds.
/// Of one thread. \see Watchdog
class Watch : public WatchHook {
public:
  enum class Cause {
    None,
    Expired,
    HungUp,
    /// The host's stop is over.
    Stopped,
    /// The connection's place is given to another caller.
    Evicted,
  };

  explicit Watch(std::function<void()> OnFire) : OnFire_(std::move(OnFire)) {}
  Watch(const Watch &) = delete;
  Watch &operator=(const Watch &) = delete;
  ~Watch() = default;

  /// Fires at \p Moment unless told otherwise before.
  void expireAt(base::TimePoint Moment) noexcept { Expires_ = Moment; }
  void neverExpire() noexcept { Expires_ = base::TimePoint::max(); }
  base::TimePoint expires() const noexcept { return Expires_; }

  /// Fires when the peer of the socket \p Handle hangs up; -1 for no such
  /// watch.
  void watchHangUp(int Handle) noexcept { HangUpHandle_ = Handle; }
  int hangUpHandle() const noexcept { return HangUpHandle_; }

  /// Asked when the time is over, before it fires: returns a later time to go
  /// on until then. Empty: it fires.
  void onExpiry(std::function<base::TimePoint()> Postpone) {
    Postpone_ = std::move(Postpone);
  }

  /// \returns whether it is due at \p Now and nobody postponed it.
  bool isOver(base::TimePoint Now) {
    if (Expires_ > Now)
      return false;
    if (Postpone_)
      Expires_ = Postpone_();
    return Expires_ <= Now;
  }

  bool fired() const noexcept { return Cause_ != Cause::None; }
  Cause cause() const noexcept { return Cause_; }

  /// Makes it fit to fire again.
  void rearm() noexcept { Cause_ = Cause::None; }

  void fire(Cause Why) {
    Cause_ = Why;
    Expires_ = base::TimePoint::max();
    OnFire_();
  }

private:
  std::function<void()> OnFire_;
  std::function<base::TimePoint()> Postpone_;
  base::TimePoint Expires_ = base::TimePoint::max();
  int HangUpHandle_ = -1;
  Cause Cause_ = Cause::None;
};

} // namespace lychee::gateway

#endif
