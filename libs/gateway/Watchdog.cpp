#include "gateway/Watchdog.h"

namespace lychee::gateway {

namespace {

/// The peer closed its sending side, or the connection is gone. A caller that
/// shuts down only its sending side counts as gone: it cannot be told apart
/// from one that left, and common HTTP servers treat it alike.
constexpr short HangUpEvents = POLLRDHUP | POLLHUP | POLLERR;

} // namespace

void Watchdog::watchFinely(Watch &Watched) {
  Watched.unlink();
  Fine_.push_back(Watched);
}

void Watchdog::watchCoarsely(Watch &Watched) {
  Watched.unlink();
  Coarse_.push_back(Watched);
}

void Watchdog::sweep(base::TimePoint Now) {
  sweepList(Fine_, Now);
  sweepHangUps();
  if (Now < NextCoarse_)
    return;
  NextCoarse_ = Now + CoarsePace;
  sweepList(Coarse_, Now);
}

void Watchdog::sweepList(List &Watched, base::TimePoint Now) {
  // Collected first: a fired watch may move lists or end its owner later, but
  // never during the call, since owners are coroutines of this thread.
  Due_.clear();
  for (Watch &Each : Watched)
    if (Each.isOver(Now))
      Due_.push_back(&Each);
  for (Watch *Each : Due_)
    Each->fire(Watch::Cause::Expired);
}

void Watchdog::sweepHangUps() {
  Polled_.clear();
  Polls_.clear();
  for (Watch &Each : Fine_) {
    if (Each.hangUpHandle() < 0 || Each.fired())
      continue;
    Polled_.push_back(&Each);
    Polls_.push_back({Each.hangUpHandle(), POLLRDHUP, 0});
  }
  if (Polls_.empty() || poll(Polls_.data(), Polls_.size(), 0) <= 0)
    return;
  for (std::size_t Index = 0; Index < Polls_.size(); ++Index)
    if ((Polls_[Index].revents & HangUpEvents) != 0)
      Polled_[Index]->fire(Watch::Cause::HungUp);
}

} // namespace lychee::gateway
