#include "live/ObjectFollower.h"

#include "base/SystemClock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::live {

namespace asio = boost::asio;
using base::SystemClock;

ObjectFollower::ObjectFollower(ObjectSource &Source, RecoverySignal &Recovered,
                               std::string Kind, const FollowerPace &Pace,
                               FollowerListeners Listeners, std::uint64_t Seed)
    : Source_(Source), Kind_(std::move(Kind)), Recovered_(Recovered),
      Pace_(Pace), Listeners_(std::move(Listeners)), Random_(Seed),
      Backoff_(Pace.LongestPause_) {}

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
  InTrouble_ = true;
  co_await Recovered_.wait(Backoff_.next(Random_), Asked_);
}

asio::awaitable<void> ObjectFollower::linger() {
  if (Pace_.Linger_ <= base::Duration::zero())
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Pace_.Linger_));
  co_await Timer.async_wait(asio::use_awaitable);
}

void ObjectFollower::succeeded(base::TimePoint Now) {
  Backoff_.reset();
  if (std::exchange(InTrouble_, false))
    Recovered_.announce(Now);
}

asio::awaitable<bool> ObjectFollower::listOnce() {
  base::Error Last;
  Asked_ = SystemClock::monotonicNow();
  const std::optional<ObjectBatch> All = co_await Source_.list(Kind_, Last);
  if (!All) {
    Listeners_.Trouble_(Last);
    co_return false;
  }
  succeeded(SystemClock::monotonicNow());
  At_ = All->At_;
  Listed_ = true;
  Listeners_.Listed_(*All);
  if (Listeners_.Confirmed_)
    Listeners_.Confirmed_(Asked_);
  co_return true;
}

asio::awaitable<void> ObjectFollower::watchOnce() {
  base::Error Last;
  SourceFault Fault = SourceFault::Trouble;
  Asked_ = SystemClock::monotonicNow();
  const base::Duration Wait = ConfirmSoon_ ? ShortWatch : Pace_.Watch_;
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
  succeeded(SystemClock::monotonicNow());
  At_ = std::max(At_, Heard->At_);
  if (!Heard->Objects_.empty())
    Listeners_.Changed_(*Heard);
  const bool HasNews = !Heard->Objects_.empty();
  const base::TimePoint Now = SystemClock::monotonicNow();
  // A watch that the store cut short is no proof of the time it did not last.
  const bool Lasted = Now - Asked_ >= Wait;
  if (Listeners_.Confirmed_) {
    Listeners_.Confirmed_(Lasted ? std::max(Asked_, Asked_ + Wait - DeafWatch)
                                 : Asked_);
    ConfirmSoon_ = !Lasted;
  }
  // A store that answers a watch at once, without news, is not to be asked
  // again at once.
  if (!Lasted && !HasNews)
    co_await Recovered_.wait(Backoff_.next(Random_), Now);
  if (HasNews)
    co_await linger();
}

} // namespace lychee::live
