#ifndef LYCHEE_LIVE_OBJECTFOLLOWER_H
#define LYCHEE_LIVE_OBJECTFOLLOWER_H

#include "base/Random.h"
#include "live/ObjectMirror.h"
#include "live/ObjectUpdate.h"
#include "live/RecoverySignal.h"
#include "store/Backoff.h"

#include <functional>
#include <span>
#include <string>

namespace lychee::live {

/// Result of comparing the known state with a copy that the store came back
/// from.
struct RestoreReport {
  /// Revision known before.
  StoreRevision Before_;
  /// Revision of the list, or of the update that held it.
  StoreRevision After_;
  /// Number of objects whose state differs, including missing ones.
  std::size_t Different_ = 0;
  std::size_t Missing_ = 0;
};

/// Callbacks of a follower. All are called on its executor.
struct FollowerCallbacks {
  /// Reports changes in order, each change once. After the first list it
  /// reports all objects, even if there are none.
  std::function<void(std::span<const StoredObject>)> Changed_;
  /// Reports that everything reported so far was the newest state at \p Time.
  /// May be empty.
  std::function<void(base::TimePoint Time)> Confirmed_;
  /// A call to the store failed.
  std::function<void(const base::Error &)> Trouble_;
  /// The store rejects the calls of this kind. Empty: Trouble_ is called.
  std::function<void(const base::Error &)> Rejected_;
  /// The store cut a watch, which is no failure of the store. May be empty.
  std::function<void(const base::Error &)> WatchCut_;
  /// A call to the store succeeded. May be empty.
  std::function<void()> Succeeded_;
  /// The store was listed. May be empty.
  std::function<void(const ObjectBatch &List)> Listed_;
  /// The store's answer has entries that cannot be read. May be empty.
  std::function<void(const UnreadableEntries &)> Unreadable_;
  /// A list is older than what is known at revision \p Known, and is ignored.
  /// May be empty.
  std::function<void(const ObjectBatch &List, StoreRevision Known)>
      ListIgnored_;
  /// The store came back from an older copy; answers state this era. Called for
  /// each answer until the state is of that era. May be empty.
  std::function<void(std::uint64_t Era)> EraSeen_;
  /// The state was compared with the copy. Called before the differences are
  /// reported. May be empty.
  std::function<void(const RestoreReport &)> Restored_;
  /// \returns whether this host reads the store itself; otherwise it waits for
  /// updates from other hosts. Empty: it always reads the store.
  std::function<bool(base::TimePoint Now)> MustReadStore_;
  /// \returns the factor by which this host lengthens pauses after a failure,
  /// because other hosts try, too. Empty: 1.
  std::function<double(base::TimePoint Now)> BackoffFactor_;
};

/// Intervals and time-outs of a follower's calls.
struct FollowerTimings {
  /// Length of one watch.
  base::Duration Watch_{};
  /// A watch that stays silent for longer than its length plus this time, or
  /// plus twice the delay of the store's last response if that is longer, has
  /// failed unnoticed. Zero: the time-out of any other call.
  base::Duration WatchGrace_{};
  /// Longest pause between two failed calls.
  base::Duration MaxBackoff_{};
  /// Delay after a change, so that changes in quick succession need one call
  /// and not one each; the next watch returns all of them.
  base::Duration BatchDelay_{};
  /// Delay after the first list. Within this time a starting host receives
  /// heartbeats of the others in its region, and then usually need not watch
  /// itself. Changes in the meantime are reported from the list's revision on,
  /// from whichever source.
  base::Duration StartupDelay_{};
};

/// Keeps up with one kind of object: lists, then watches, and lists again after
/// any failure; or stands by while other hosts send updates.
///
/// Failure: before a store loses its history, it stops delivering changes. Its
/// watches stay open but receive none, including a watch that is started right
/// after the loss of history. Without a safeguard, requests are sent to a zone
/// that is to be kept clear until a long watch ends 20 s later. A list returns
/// the current state, whatever a watch missed. \see store::Backoff for the
/// pauses after failures
class ObjectFollower {
public:
  /// A watch may receive no changes for up to a second before the store closes
  /// it. A watch that ends without changes therefore only confirms the state
  /// before that second.
  static constexpr base::Duration WatchBlindTime = std::chrono::seconds(1);
  /// Length of a watch after a change. A response may have been in transit for
  /// as long as its call took, so it confirms the state only as of the start of
  /// the call. A short watch brings a newer confirmation before the old one
  /// expires.
  static constexpr base::Duration ShortWatch = std::chrono::milliseconds(50);

  /// \param Source,Recovery must outlive this; \p Recovery is shared by all
  /// kinds of objects.
  ObjectFollower(ObjectSource &Source, RecoverySignal &Recovery,
                 std::string Kind, const FollowerTimings &Timings,
                 FollowerCallbacks Callbacks, std::uint64_t Seed);
  ObjectFollower(const ObjectFollower &) = delete;
  ObjectFollower &operator=(const ObjectFollower &) = delete;

  /// Longest pause, however many hosts try: keys become stale 4.7 s after the
  /// last successful call.
  static constexpr base::Duration MaxPause = std::chrono::seconds(4);

  /// Interval at which a host on standby checks whether it must read the store.
  static constexpr base::Duration StandbyInterval =
      std::chrono::milliseconds(200);

  /// Runs until the executor ends.
  boost::asio::awaitable<void> run();

  const std::string &kind() const noexcept { return Kind_; }
  StoreRevision revision() const noexcept { return Mirror_.revision(); }
  /// \returns whether the last call to the store succeeded and no change may
  /// have been missed.
  bool isSynced() const noexcept { return Listed_ && !Failing_; }

  /// \returns the time of the last successful response. All earlier changes are
  /// known, unless the store itself is failing: unlike a confirmation, this
  /// does not allow for a store that has stopped delivering changes.
  std::optional<base::TimePoint> contact() const noexcept {
    return LastContact_;
  }

  /// \returns the time at which the known state was last known to be the
  /// newest one; nothing before the first list. What a change reports happened
  /// later. During FollowerCallbacks::Changed_ it is the time before the
  /// change.
  std::optional<base::TimePoint> confirmedAt() const noexcept {
    return ConfirmedAt_;
  }

  /// Records that the store came back from an older copy as era \p Era. The
  /// call in progress may still speak of an earlier one: its caller cancels it,
  /// and a list is read next. \see ObjectSource::cancelStartedBefore
  void noteEra(std::uint64_t Era) noexcept;

  /// \returns the size of the changes in updateSince() as text.
  std::size_t updateBytesSince(StoreRevision Since) const noexcept {
    return Mirror_.changeBytesSince(Since);
  }

  /// \returns the update for a host that knows everything up to \p Since.
  /// \param WithChanges include the changes; otherwise the host is to fetch
  /// them from the store.
  ObjectUpdate updateSince(StoreRevision Since, bool WithChanges,
                           base::TimePoint Now) const;

  /// Applies an update that another host sent in response to a request made at
  /// \p RequestedAt.
  /// \param IsSynced the other host reads the store itself, successfully. What
  /// it does not send is then available from the store.
  void applyUpdate(const ObjectUpdate &Update, bool IsSynced,
                   base::TimePoint RequestedAt, base::TimePoint Now);

private:
  boost::asio::awaitable<bool> listOnce();
  boost::asio::awaitable<void> watchOnce();
  boost::asio::awaitable<void> pause();
  boost::asio::awaitable<void> sleepFor(base::Duration Duration);
  bool mustReadStore(base::TimePoint Now) const;
  /// \param Wait how long the store was asked to wait.
  void succeeded(base::Duration Wait, base::TimePoint Now);
  base::Duration watchGrace() const;
  void confirm(base::TimePoint Time);
  /// Reports the era of an answer if it is later than that of the state.
  void noteEraOf(const ObjectBatch &Batch) const;
  void noteUnreadable(const ObjectBatch &Batch) const;
  void noteFailure(SourceFault Fault, const base::Error &Last) const;
  /// Records that another host knows of a change up to \p Revision that this
  /// one is missing.
  void noteMissing(StoreRevision Revision);
  /// Reports what replaceAll() or apply() returned.
  /// \param Before revision before the changes.
  void report(std::span<const StoredObject> Changes, StoreRevision Before,
              base::TimePoint Now);

  ObjectSource &Source_;
  const std::string Kind_;
  RecoverySignal &Recovery_;
  const FollowerTimings Timings_;
  const FollowerCallbacks Callbacks_;
  base::Random Random_;
  store::Backoff Backoff_;
  ObjectMirror Mirror_;
  /// The next call may be a watch; otherwise changes may have been missed.
  bool Listed_ = false;
  bool Failing_ = false;
  /// Another host knows of changes up to this revision and did not send all of
  /// them. A host that has just listed watches from its list's revision, which
  /// is one call; a list of several hundred objects is several calls.
  std::optional<StoreRevision> MissingRevision_;
  std::optional<base::TimePoint> ConfirmedAt_;
  std::optional<base::TimePoint> LastContact_;
  /// Time that the store took for its last response, beyond the requested wait.
  base::Duration StoreDelay_{};
  /// Start of the last call.
  base::TimePoint CallStartedAt_;
  /// The last confirmation is for a time that is long past.
  bool ConfirmSoon_ = false;
  /// The store has answered a watch since the last list.
  bool HasWatched_ = false;
  /// The call in progress is cancelled because the store's era rose.
  bool Interrupted_ = false;
  /// What is read within RewriteTime of this may lack acknowledged changes, so
  /// it confirms the state as of this time only.
  std::optional<base::TimePoint> RestoredAt_;
};

} // namespace lychee::live

#endif
