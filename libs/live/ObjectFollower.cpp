#include "live/ObjectFollower.h"

#include "base/SystemClock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::live {

namespace asio = boost::asio;
using base::SystemClock;

ObjectFollower::ObjectFollower(ObjectSource &Source, std::string Kind,
                               base::Duration Wait, FollowerListeners Listeners,
                               std::uint64_t Seed)
    : Source_(Source), Kind_(std::move(Kind)), Wait_(Wait),
      Listeners_(std::move(Listeners)), Random_(Seed) {}

asio::awaitable<void> ObjectFollower::run() {
  while (true) {
    if (Listed_) {
      co_await watchOnce();
      continue;
    }
    const bool Came = co_await listOnce();
    if (!Came)
      co_await pause();
  }
}

asio::awaitable<void> ObjectFollower::pause() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
      Backoff_.next(Random_)));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> ObjectFollower::listOnce() {
  base::Error Last;
  const base::TimePoint Asked = SystemClock::monotonicNow();
  const std::optional<ObjectBatch> All = co_await Source_.list(Kind_, Last);
  if (!All) {
    Listeners_.Trouble_(Last);
    co_return false;
  }
  Backoff_.reset();
  At_ = All->At_;
  Listed_ = true;
  Listeners_.Listed_(*All);
  if (Listeners_.Confirmed_)
    Listeners_.Confirmed_(Asked);
  co_return true;
}

asio::awaitable<void> ObjectFollower::watchOnce() {
  base::Error Last;
  SourceFault Fault = SourceFault::Trouble;
  const base::TimePoint Asked = SystemClock::monotonicNow();
  const base::Duration Wait = ConfirmSoon_ ? ShortWatch : Wait_;
  const std::optional<ObjectBatch> Heard =
      co_await Source_.watch(Kind_, At_, Wait, Fault, Last);
  if (!Heard && Fault == SourceFault::HistoryGone) {
    Listed_ = false;
    co_return;
  }
  if (!Heard) {
    Listed_ = false;
    Listeners_.Trouble_(Last);
    co_await pause();
    co_return;
  }
  Backoff_.reset();
  At_ = std::max(At_, Heard->At_);
  if (!Heard->Objects_.empty())
    Listeners_.Changed_(*Heard);
  const base::TimePoint Now = SystemClock::monotonicNow();
  // A watch that the store cut short is no proof of the time it did not last.
  const bool Lasted = Now - Asked >= Wait;
  if (Listeners_.Confirmed_) {
    Listeners_.Confirmed_(Lasted ? std::max(Asked, Asked + Wait - DeafWatch)
                                 : Asked);
    ConfirmSoon_ = !Lasted;
  }
  if (!Lasted && Heard->Objects_.empty())
    co_await pause();
}

} // namespace lychee::live
