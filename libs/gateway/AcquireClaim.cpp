#include "gateway/AcquireClaim.h"

#include "base/SystemClock.h"
#include "gateway/Worker.h"

#include <boost/asio/post.hpp>

namespace lychee::gateway {

namespace {

/// Shared by the coroutine that waits and the answer on its way to it, which
/// may come from any thread and after the coroutine has ended.
class PendingClaim {
public:
  PendingClaim(const Executor &Home, ClaimGate &Claims,
               const ClaimRequest &Asked)
      : Done_(Home), Claims_(Claims), Asked_(Asked) {}
  PendingClaim(const PendingClaim &) = delete;
  PendingClaim &operator=(const PendingClaim &) = delete;

  Waiter &done() noexcept { return Done_; }
  const ClaimAnswer &answer() const noexcept { return Answer_; }
  /// Nobody waits any more.
  void abandon() noexcept { Abandoned_ = true; }

  /// On the waiting coroutine's thread.
  void take(const ClaimAnswer &Answered) {
    if (Abandoned_ && Answered.Kind_ == ClaimAnswer::Kind::Granted)
      Claims_.settle(Asked_, ClaimEnd::NotRun, 0,
                     base::SystemClock::monotonicNow());
    Answer_ = Answered;
    Done_.decide({});
  }

private:
  Waiter Done_;
  ClaimGate &Claims_;
  const ClaimRequest Asked_;
  ClaimAnswer Answer_;
  bool Abandoned_ = false;
};

} // namespace

Task<ClaimAnswer> acquireClaim(Worker &Home, CallerConnection &Caller,
                               const ClaimRequest &Asked,
                               base::TimePoint Limit) {
  ClaimGate &Claims = Home.shared().Others_.Claims_;
  const auto Pending =
      std::make_shared<PendingClaim>(Home.executor(), Claims, Asked);
  Caller.watch().expireAt(Limit);
  Caller.interruptAlso([Pending] { Pending->done().wake(); });
  Claims.acquire(Asked, base::SystemClock::monotonicNow(),
                 [Pending](const ClaimAnswer &Answered) {
                   boost::asio::post(
                       Pending->done().executor(),
                       [Pending, Answered] { Pending->take(Answered); });
                 });
  co_await Pending->done().wait();
  Caller.interruptAlso({});
  if (!Pending->done().decision())
    Pending->abandon();
  co_return Pending->answer();
}

} // namespace lychee::gateway
