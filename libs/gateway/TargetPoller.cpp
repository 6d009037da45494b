#include "gateway/TargetPoller.h"

#include "base/SystemClock.h"
#include "gateway/TargetPoll.h"
#include "gateway/Worker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace lychee::gateway {

void TargetPoller::setTargets(std::vector<TargetEntry> Targets) {
  Current_->store(false);
  Current_ = std::make_shared<std::atomic<bool>>(true);
  const base::Duration Interval = Home_.shared().Settings_.PollInterval_;
  if (Interval <= base::Duration::zero())
    return;
  const auto Count = static_cast<std::int64_t>(Targets.size());
  std::int64_t Index = 0;
  for (TargetEntry &Entry : Targets) {
    boost::asio::co_spawn(
        Home_.executor(),
        pollOne(Home_, std::move(Entry), Interval * Index / Count, Current_),
        boost::asio::detached);
    ++Index;
  }
}

Task<void> TargetPoller::pollOne(Worker &Home, TargetEntry Entry,
                                 base::Duration Offset, Token Current) {
  const auto Interval = Home.shared().Settings_.PollInterval_;
  Timer Pause(Home.executor());
  Pause.expires_after(std::chrono::duration_cast<Timer::duration>(Offset));
  co_await Pause.async_wait(Await);
  TargetPoll Poll(Home, Entry);
  TargetObserver &Observer = Home.shared().Others_.Observer_;
  while (Current->load()) {
    if (Observer.mayPoll(Entry, base::SystemClock::monotonicNow())) {
      const TargetObservation Seen = co_await Poll.poll();
      // A target that was taken out while it was asked is not reported on.
      if (!Current->load())
        break;
      Observer.observed(Seen, base::SystemClock::monotonicNow());
    }
    Pause.expires_after(std::chrono::duration_cast<Timer::duration>(Interval));
    co_await Pause.async_wait(Await);
  }
}

} // namespace lychee::gateway
