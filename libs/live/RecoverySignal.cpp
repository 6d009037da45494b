#include "live/RecoverySignal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::live {

namespace asio = boost::asio;

namespace {

/// Keeps a timer in the list for as long as its coroutine lives, also where
/// the loop ends while it waits.
class Entry {
public:
  Entry(std::vector<asio::steady_timer *> &List, asio::steady_timer &Timer)
      : List_(List), Timer_(Timer) {
    List_.push_back(&Timer_);
  }
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;
  ~Entry() { std::erase(List_, &Timer_); }

private:
  std::vector<asio::steady_timer *> &List_;
  asio::steady_timer &Timer_;
};

} // namespace

asio::awaitable<void> RecoverySignal::wait(base::Duration Longest,
                                           base::TimePoint Since) {
  if (Announced_ > Since)
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Longest));
  const Entry Waiting(Waiting_, Timer);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void RecoverySignal::announce(base::TimePoint Now) {
  Announced_ = Now;
  for (asio::steady_timer *Each : Waiting_)
    Each->cancel();
}

} // namespace lychee::live
