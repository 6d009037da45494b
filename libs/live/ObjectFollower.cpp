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

ObjectFollower::ObjectFollower(ObjectSource &Source, RecoverySignal &Recovery,
                               std::string Kind, const FollowerTimings &Timings,
                               FollowerCallbacks Callbacks, std::uint64_t Seed)
    : Source_(Source), Kind_(std::move(Kind)), Recovery_(Recovery),
      Timings_(Timings), Callbacks_(std::move(Callbacks)), Random_(Seed),
      Backoff_(Timings.MaxBackoff_) {}

bool ObjectFollower::mustReadStore(base::TimePoint Now) const {
  // Other hosts send changes, which need a first list to apply to.
  return MissingRevision_ || !Callbacks_.MustReadStore_ ||
         Callbacks_.MustReadStore_(Now) || Mirror_.isEmpty();
}

asio::awaitable<void> ObjectFollower::run() {
  while (true) {
    if (!mustReadStore(SystemClock::monotonicNow())) {
      // Other hosts report changes in the meantime. Once this host reads the
      // store again, it cannot know whether they reported all of them.
      Listed_ = false;
      Failing_ = false;
      co_await sleepFor(StandbyInterval);
      continue;
    }
    if (Listed_) {
      co_await watchOnce();
      continue;
    }
    const bool Succeeded = co_await listOnce();
    if (!Succeeded)
      co_await pause();
  }
}

asio::awaitable<void> ObjectFollower::pause() {
  Failing_ = true;
  const base::Duration Duration = Backoff_.next(Random_);
  // No other host reads the store for this one if other hosts cannot send the
  // changes. With longer pauses a zone to be kept clear was learned of 4 s
  // late, and a request was sent to it 9 ms after its bound of 5 s.
  const bool UseFactor = Callbacks_.BackoffFactor_ && !MissingRevision_;
  const double Factor =
      UseFactor ? Callbacks_.BackoffFactor_(SystemClock::monotonicNow()) : 1;
  const double Seconds =
      std::min(base::toSeconds(Duration) * Factor,
               std::max(base::toSeconds(Duration), base::toSeconds(MaxPause)));
  co_await Recovery_.wait(base::fromSeconds(Seconds), CallStartedAt_);
}

asio::awaitable<void> ObjectFollower::sleepFor(base::Duration Duration) {
  if (Duration <= base::Duration::zero())
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(Duration));
  co_await Timer.async_wait(asio::use_awaitable);
}

void ObjectFollower::succeeded(base::Duration Wait, base::TimePoint Now) {
  Backoff_.reset();
  LastContact_ = Now;
  StoreDelay_ = std::max(Now - CallStartedAt_ - Wait, base::Duration::zero());
  if (Callbacks_.Succeeded_)
    Callbacks_.Succeeded_();
  if (std::exchange(Failing_, false))
    Recovery_.notify(Now);
}

base::Duration ObjectFollower::watchGrace() const {
  if (Timings_.WatchGrace_ == base::Duration::zero())
    return Timings_.WatchGrace_;
  return std::max(Timings_.WatchGrace_, 2 * StoreDelay_);
}

void ObjectFollower::confirm(base::TimePoint Time) {
  if (RestoredAt_ && Time < *RestoredAt_ + RewriteTime)
    Time = std::min(Time, *RestoredAt_);
  if (ConfirmedAt_ && *ConfirmedAt_ >= Time)
    return;
  ConfirmedAt_ = Time;
  if (Callbacks_.Confirmed_)
    Callbacks_.Confirmed_(Time);
}

asio::awaitable<bool> ObjectFollower::listOnce() {
  base::Error Last;
  CallStartedAt_ = SystemClock::monotonicNow();
  Interrupted_ = false;
  SourceFault Fault = SourceFault::Trouble;
  const std::optional<ObjectBatch> All =
      co_await Source_.list(Kind_, Fault, Last);
  if (!All && std::exchange(Interrupted_, false))
    co_return true;
  if (!All) {
    noteFailure(Fault, Last);
    co_return false;
  }
  if (Callbacks_.Listed_)
    Callbacks_.Listed_(*All);
  noteUnreadable(*All);
  const StoreRevision Before = Mirror_.revision();
  if (All->Revision_ < Before && Callbacks_.ListIgnored_)
    Callbacks_.ListIgnored_(*All, Before);
  if (All->Revision_.Era_ < Before.Era_) {
    Callbacks_.Trouble_({"store.list", "store", "its era went back"});
    co_return false;
  }
  noteEraOf(*All);
  const base::TimePoint Now = SystemClock::monotonicNow();
  succeeded(base::Duration::zero(), Now);
  Listed_ = true;
  HasWatched_ = false;
  MissingRevision_.reset();
  const bool IsFirst = Mirror_.isEmpty();
  const std::vector<StoredObject> Changes = Mirror_.replaceAll(*All, Now);
  if (IsFirst)
    Callbacks_.Changed_(Changes);
  else
    report(Changes, Before, Now);
  confirm(CallStartedAt_);
  if (IsFirst)
    co_await sleepFor(Timings_.StartupDelay_);
  co_return true;
}

asio::awaitable<void> ObjectFollower::watchOnce() {
  base::Error Last;
  SourceFault Fault = SourceFault::Trouble;
  CallStartedAt_ = SystemClock::monotonicNow();
  Interrupted_ = false;
  const base::Duration Wait = ConfirmSoon_ ? ShortWatch : Timings_.Watch_;
  const std::optional<ObjectBatch> Result = co_await Source_.watch(
      Kind_, Mirror_.revision(), {Wait, watchGrace()}, Fault, Last);
  if (!Result && Fault == SourceFault::HistoryGone) {
    Listed_ = false;
    // A list that is too old at once must not be followed by another forever.
    if (!HasWatched_)
      co_await pause();
    co_return;
  }
  if (!Result && std::exchange(Interrupted_, false))
    co_return;
  if (!Result) {
    Listed_ = false;
    noteFailure(Fault, Last);
    co_await pause();
    co_return;
  }
  noteUnreadable(*Result);
  const base::TimePoint Now = SystemClock::monotonicNow();
  succeeded(Wait, Now);
  // Changes of another era do not follow on the known state.
  if (Result->Revision_.Era_ != Mirror_.revision().Era_) {
    Listed_ = false;
    noteEraOf(*Result);
    co_return;
  }
  HasWatched_ = true;
  MissingRevision_.reset();
  const bool HasChanges = !Result->Objects_.empty();
  const std::vector<StoredObject> Changes = Mirror_.apply(*Result, Now);
  if (!Changes.empty())
    Callbacks_.Changed_(Changes);
  // A watch that the store cut short does not confirm the time it did not run.
  const bool RanFullLength = Now - CallStartedAt_ >= Wait;
  confirm(RanFullLength
              ? std::max(CallStartedAt_, CallStartedAt_ + Wait - WatchBlindTime)
              : CallStartedAt_);
  ConfirmSoon_ = !RanFullLength && Callbacks_.Confirmed_;
  // A store that ends a watch early without changes must not be called again
  // immediately.
  if (!RanFullLength && !HasChanges)
    co_await Recovery_.wait(Backoff_.next(Random_), Now);
  if (HasChanges)
    co_await sleepFor(Timings_.BatchDelay_);
}

void ObjectFollower::noteEraOf(const ObjectBatch &Batch) const {
  if (!Mirror_.isEmpty() && Callbacks_.EraSeen_ &&
      Batch.Revision_.Era_ > Mirror_.revision().Era_)
    Callbacks_.EraSeen_(Batch.Revision_.Era_);
}

void ObjectFollower::noteUnreadable(const ObjectBatch &Batch) const {
  if (Batch.Unreadable_.Count_ > 0 && Callbacks_.Unreadable_)
    Callbacks_.Unreadable_(Batch.Unreadable_);
}

void ObjectFollower::noteFailure(SourceFault Fault,
                                 const base::Error &Last) const {
  if (Fault == SourceFault::WatchCut) {
    if (Callbacks_.WatchCut_)
      Callbacks_.WatchCut_(Last);
  } else if (Fault == SourceFault::Rejected && Callbacks_.Rejected_) {
    Callbacks_.Rejected_(Last);
  } else {
    Callbacks_.Trouble_(Last);
  }
}

void ObjectFollower::noteEra(std::uint64_t Era) noexcept {
  if (Mirror_.isEmpty() || Era <= Mirror_.revision().Era_)
    return;
  Listed_ = false;
  Interrupted_ = true;
}

void ObjectFollower::report(std::span<const StoredObject> Changes,
                            StoreRevision Before, base::TimePoint Now) {
  if (Mirror_.revision().Era_ > Before.Era_) {
    RestoredAt_ = Now;
    RestoreReport Report{Before, Mirror_.revision()};
    for (const StoredObject &Entry : Changes) {
      Report.Different_ += Entry.Restored_ ? 1 : 0;
      Report.Missing_ += Entry.Restored_ && Entry.Deleted_ ? 1 : 0;
    }
    if (Callbacks_.Restored_)
      Callbacks_.Restored_(Report);
  }
  if (!Changes.empty())
    Callbacks_.Changed_(Changes);
}

ObjectUpdate ObjectFollower::updateSince(StoreRevision Since, bool WithChanges,
                                         base::TimePoint Now) const {
  ObjectUpdate Update;
  Update.Kind_ = Kind_;
  Update.NewestRevision_ = Mirror_.newestRevision();
  if (ConfirmedAt_)
    Update.Age_ = Now - *ConfirmedAt_;
  std::optional<ObjectBatch> History =
      WithChanges ? Mirror_.changesSince(Since) : std::nullopt;
  Update.MustRelist_ = !History;
  Update.Changes_.Revision_ = Mirror_.revision();
  if (History)
    Update.Changes_ = std::move(*History);
  return Update;
}

void ObjectFollower::noteMissing(StoreRevision Revision) {
  MissingRevision_ = std::max(MissingRevision_.value_or(Revision), Revision);
}

void ObjectFollower::applyUpdate(const ObjectUpdate &Update, bool IsSynced,
                                 base::TimePoint RequestedAt,
                                 base::TimePoint Now) {
  // Changes cannot be applied before the first list.
  if (Mirror_.isEmpty())
    return;
  // A state of an earlier era is older, whatever its revision and age.
  if (Update.Changes_.Revision_.Era_ < Mirror_.revision().Era_)
    return;
  if (Update.MustRelist_) {
    // A call that succeeded after the request may have returned what the other
    // host leaves out.
    if (IsSynced && (!LastContact_ || *LastContact_ <= RequestedAt))
      noteMissing(Update.NewestRevision_);
    return;
  }
  const StoreRevision Before = Mirror_.revision();
  const std::vector<StoredObject> Changes = Mirror_.apply(Update.Changes_, Now);
  report(Changes, Before, Now);
  if (Mirror_.takeIncomplete()) {
    Listed_ = false;
    noteMissing(Update.NewestRevision_);
    return;
  }
  if (!Mirror_.covers(Update.NewestRevision_)) {
    if (IsSynced)
      noteMissing(Update.NewestRevision_);
    return;
  }
  if (MissingRevision_ && *MissingRevision_ <= Update.Changes_.Revision_ &&
      Mirror_.covers(*MissingRevision_))
    MissingRevision_.reset();
  // The response was created after the request was made, whatever time either
  // spent in transit. Its state is therefore at most its age older than the
  // request.
  if (Update.Age_)
    confirm(RequestedAt - *Update.Age_);
}

} // namespace lychee::live
