#include "live/ObjectFollower.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::live {

namespace asio = boost::asio;
using base::SystemClock;

ObjectFollower::ObjectFollower(ObjectSource &Source, RecoverySignal &Recovered,
                               std::string Kind, const FollowerTimings &Pace,
                               FollowerCallbacks Listeners, std::uint64_t Seed)
    : Source_(Source), Kind_(std::move(Kind)), Recovered_(Recovered),
      Pace_(Pace), Listeners_(std::move(Listeners)), Random_(Seed),
      Backoff_(Pace.MaxBackoff_) {}

bool ObjectFollower::mustAsk(base::TimePoint Now) const {
  return Gap_ || !Listeners_.MustReadStore_ || Listeners_.MustReadStore_(Now);
}

asio::awaitable<void> ObjectFollower::run() {
  while (true) {
    if (!mustAsk(SystemClock::monotonicNow())) {
      // What changes meanwhile is told by others; whether all of it was is
      // not known once this host asks again.
      Listed_ = false;
      InTrouble_ = false;
      co_await waitFor(RestPace);
      continue;
    }
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
  const base::Duration Span = Backoff_.next(Random_);
  // What others cannot tell nobody asks for in this host's place: a zone to be
  // kept clear was heard of 4 s late, and sent to 9 ms after its bound of 5 s.
  const bool Spreads = Listeners_.BackoffFactor_ && !Gap_;
  const double Spread =
      Spreads ? Listeners_.BackoffFactor_(SystemClock::monotonicNow()) : 1;
  const double Longer =
      std::min(base::toSeconds(Span) * Spread,
               std::max(base::toSeconds(Span), base::toSeconds(MostPause)));
  co_await Recovered_.wait(base::fromSeconds(Longer), Asked_);
}

asio::awaitable<void> ObjectFollower::waitFor(base::Duration Span) {
  if (Span <= base::Duration::zero())
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Span));
  co_await Timer.async_wait(asio::use_awaitable);
}

void ObjectFollower::succeeded(base::Duration Wait, base::TimePoint Now) {
  Backoff_.reset();
  Contact_ = Now;
  StoreDelay_ = std::max(Now - Asked_ - Wait, base::Duration::zero());
  if (Listeners_.Succeeded_)
    Listeners_.Succeeded_();
  if (std::exchange(InTrouble_, false))
    Recovered_.announce(Now);
}

base::Duration ObjectFollower::patience() const {
  if (Pace_.WatchGrace_ == base::Duration::zero())
    return Pace_.WatchGrace_;
  return std::max(Pace_.WatchGrace_, 2 * StoreDelay_);
}

void ObjectFollower::confirm(base::TimePoint Moment) {
  if (Confirmed_ && *Confirmed_ >= Moment)
    return;
  Confirmed_ = Moment;
  if (Listeners_.Confirmed_)
    Listeners_.Confirmed_(Moment);
}

asio::awaitable<bool> ObjectFollower::listOnce() {
  base::Error Last;
  Asked_ = SystemClock::monotonicNow();
  const std::optional<ObjectBatch> All = co_await Source_.list(Kind_, Last);
  if (!All) {
    Listeners_.Trouble_(Last);
    co_return false;
  }
  const base::TimePoint Now = SystemClock::monotonicNow();
  succeeded(base::Duration::zero(), Now);
  Listed_ = true;
  Gap_.reset();
  const bool First = Mirror_.isEmpty();
  const std::vector<StoredObject> News = Mirror_.replaceAll(*All, Now);
  if (First || !News.empty())
    Listeners_.Changed_(News);
  confirm(Asked_);
  if (First)
    co_await waitFor(Pace_.StartupDelay_);
  co_return true;
}

asio::awaitable<void> ObjectFollower::watchOnce() {
  base::Error Last;
  SourceFault Fault = SourceFault::Trouble;
  Asked_ = SystemClock::monotonicNow();
  const base::Duration Wait = ConfirmSoon_ ? ShortWatch : Pace_.Watch_;
  const std::optional<ObjectBatch> Heard = co_await Source_.watch(
      Kind_, Mirror_.at(), {Wait, patience()}, Fault, Last);
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
  const base::TimePoint Now = SystemClock::monotonicNow();
  succeeded(Wait, Now);
  Gap_.reset();
  const bool Ended = !Heard->Objects_.empty();
  const std::vector<StoredObject> News = Mirror_.apply(*Heard, Now);
  if (!News.empty())
    Listeners_.Changed_(News);
  // A watch that the store cut short is no proof of the time it did not last.
  const bool Lasted = Now - Asked_ >= Wait;
  if (Listeners_.Confirmed_) {
    confirm(Lasted ? std::max(Asked_, Asked_ + Wait - DeafWatch) : Asked_);
    ConfirmSoon_ = !Lasted;
  }
  // A store that answers a watch at once, without news, is not to be asked
  // again at once.
  if (!Lasted && !Ended)
    co_await Recovered_.wait(Backoff_.next(Random_), Now);
  if (Ended)
    co_await waitFor(Pace_.BatchDelay_);
}

ObjectUpdate ObjectFollower::updateSince(std::uint64_t Since, bool Whole,
                                         base::TimePoint Now) const {
  ObjectUpdate Told;
  Told.Kind_ = Kind_;
  Told.Newest_ = Mirror_.newest();
  if (Confirmed_)
    Told.Age_ = Now - *Confirmed_;
  std::optional<ObjectBatch> Changes =
      Whole ? Mirror_.since(Since) : std::nullopt;
  Told.MustList_ = !Changes;
  if (Changes)
    Told.Changes_ = std::move(*Changes);
  return Told;
}

void ObjectFollower::noteGap(std::uint64_t Revision) {
  Gap_ = std::max(Gap_.value_or(Revision), Revision);
}

void ObjectFollower::applyUpdate(const ObjectUpdate &Told, bool Sound,
                                 base::TimePoint AskedAt, base::TimePoint Now) {
  // Before the first list there is nothing that changes could be added to.
  if (Mirror_.isEmpty())
    return;
  if (Told.MustList_) {
    // A call that came after the question may have brought what it misses.
    if (Sound && (!Contact_ || *Contact_ <= AskedAt))
      noteGap(Told.Newest_);
    return;
  }
  const std::vector<StoredObject> News = Mirror_.apply(Told.Changes_, Now);
  if (!News.empty())
    Listeners_.Changed_(News);
  if (!Mirror_.covers(Told.Newest_)) {
    if (Sound)
      noteGap(Told.Newest_);
    return;
  }
  if (Gap_ && *Gap_ <= Told.Changes_.Revision_ && Mirror_.covers(*Gap_))
    Gap_.reset();
  // The answer was given after the question was asked, whatever time either
  // spent on its way; so it is no older than its age before the question.
  if (Told.Age_)
    confirm(AskedAt - *Told.Age_);
}

} // namespace lychee::live
