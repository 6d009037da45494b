#include "live/RecoverySignal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::live {

namespace asio = boost::asio;

namespace {

/// Keeps a timer in the list as long as its coroutine lives, including the case
/// that the loop ends while it waits.
class WaiterGuard {
public:
  WaiterGuard(std::vector<asio::steady_timer *> &List,
              asio::steady_timer &Timer)
      : List_(List), Timer_(Timer) {
    List_.push_back(&Timer_);
  }
  WaiterGuard(const WaiterGuard &) = delete;
  WaiterGuard &operator=(const WaiterGuard &) = delete;
  ~WaiterGuard() { std::erase(List_, &Timer_); }

private:
  std::vector<asio::steady_timer *> &List_;
  asio::steady_timer &Timer_;
};

} // namespace

asio::awaitable<void> RecoverySignal::wait(base::Duration MaxWait,
                                           base::TimePoint Since) {
  if (NotifiedAt_ > Since)
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(MaxWait));
  const WaiterGuard Waiting(Waiters_, Timer);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void RecoverySignal::notify(base::TimePoint Now) {
  NotifiedAt_ = Now;
  for (asio::steady_timer *Waiter : Waiters_)
    Waiter->cancel();
}

} // namespace lychee::live
