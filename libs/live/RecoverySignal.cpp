#include "live/RecoverySignal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::live {

namespace asio = boost::asio;

asio::awaitable<void> RecoverySignal::wait(base::Duration Longest) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Longest));
  Waiting_.push_back(&Timer);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  std::erase(Waiting_, &Timer);
}

void RecoverySignal::announce() {
  for (asio::steady_timer *Each : Waiting_)
    Each->cancel();
}

} // namespace lychee::live
