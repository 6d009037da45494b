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

/// Whom a follower tells. All are called on the executor that it runs on.
struct FollowerCallbacks {
  /// What changed, in order, each change once; after the first list all there
  /// is, if only to say that there is nothing.
  std::function<void(std::span<const StoredObject>)> Changed_;
  /// Whatever was told before is the newest as of the moment. Empty: nobody
  /// needs to know.
  std::function<void(base::TimePoint Moment)> Confirmed_;
  /// A call brought nothing.
  std::function<void(const base::Error &)> Trouble_;
  /// A call brought what there is. Empty: nobody needs to know.
  std::function<void()> Succeeded_;
  /// Whether this host asks the store itself; else it waits for what other
  /// hosts tell. Empty: it always asks.
  std::function<bool(base::TimePoint Now)> MustReadStore_;
  /// By how much longer this host pauses after trouble, as others try, too.
  /// Empty: not at all.
  std::function<double(base::TimePoint Now)> BackoffFactor_;
};

/// How often a follower calls.
struct FollowerTimings {
  /// Length of one watch.
  base::Duration Watch_{};
  /// A watch that is silent for so much longer than it should last, or twice
  /// what the store took for the last answer, has ended unheard. Zero: as long
  /// as any other call.
  base::Duration WatchGrace_{};
  /// Longest pause between two calls that brought nothing.
  base::Duration MaxBackoff_{};
  /// After a change was heard, so that changes that come together cost one call
  /// and not one each; the watch then tells all of them.
  base::Duration BatchDelay_{};
  /// After the first list: within this time a host that starts hears the others
  /// of its region, and most often need not watch itself. What changes
  /// meanwhile is told from the list's revision on, whoever tells it.
  base::Duration StartupDelay_{};
};

/// Keeps up with one kind of object: lists, then watches, and after any trouble
/// lists again; or rests, while other hosts tell what they hear.
///
/// Failure: a store that loses its history goes deaf first: its watches stay
/// open and hear nothing of what changes, also one begun right after the cut.
/// Symptom: a zone to be kept clear is sent to until a long watch ends, 20 s
/// later. A list shows what is, whatever a watch missed.
/// \see store::Backoff for the pace after trouble
class ObjectFollower {
public:
  /// Watches may hear nothing for a second before the store cuts them, so a
  /// watch that ends empty speaks for the time before that second.
  static constexpr base::Duration DeafWatch = std::chrono::seconds(1);
  /// After a change was heard: an answer may have been under way for as long
  /// as its call was, so it proves no more than the moment of asking. A short
  /// watch brings a new proof before the old one is too old.
  static constexpr base::Duration ShortWatch = std::chrono::milliseconds(50);

  /// \param Source,Recovered  outlive this; the latter is shared by all kinds.
  ObjectFollower(ObjectSource &Source, RecoverySignal &Recovered,
                 std::string Kind, const FollowerTimings &Pace,
                 FollowerCallbacks Listeners, std::uint64_t Seed);
  ObjectFollower(const ObjectFollower &) = delete;
  ObjectFollower &operator=(const ObjectFollower &) = delete;

  /// Longest pause, however many hosts try: keys go stale 4.7 s after the last
  /// call that came.
  static constexpr base::Duration MostPause = std::chrono::seconds(4);

  /// How often a host that rests looks whether it must ask.
  static constexpr base::Duration RestPace = std::chrono::milliseconds(200);

  /// Runs until the executor ends.
  boost::asio::awaitable<void> run();

  const std::string &kind() const noexcept { return Kind_; }
  std::uint64_t revision() const noexcept { return Mirror_.at(); }
  /// \returns whether the last call to the store brought what there is.
  bool isSynced() const noexcept { return Listed_ && !InTrouble_; }

  /// \returns when the last call that came was answered: all that changed
  /// before is known, unless the store itself is in trouble. Unlike a
  /// confirmation it does not allow for a store that goes deaf.
  std::optional<base::TimePoint> contact() const noexcept { return Contact_; }

  /// \returns how long what updateSince() tells is as text.
  std::size_t updateBytesSince(std::uint64_t Since) const noexcept {
    return Mirror_.bytesSince(Since);
  }

  /// \returns what to tell a host that knows everything up to \p Since.
  /// \param Whole  with the changes; else the host is to take them from the
  /// store.
  ObjectUpdate updateSince(std::uint64_t Since, bool Whole,
                           base::TimePoint Now) const;

  /// Takes what another host told in answer to a question of \p AskedAt.
  /// \param Sound  it asks the store itself, with success: what it cannot tell
  /// is then to be had there.
  void applyUpdate(const ObjectUpdate &Told, bool Sound,
                   base::TimePoint AskedAt, base::TimePoint Now);

private:
  boost::asio::awaitable<bool> listOnce();
  boost::asio::awaitable<void> watchOnce();
  boost::asio::awaitable<void> pause();
  boost::asio::awaitable<void> waitFor(base::Duration Span);
  bool mustAsk(base::TimePoint Now) const;
  /// \param Wait  how long the store was asked to wait.
  void succeeded(base::Duration Wait, base::TimePoint Now);
  base::Duration patience() const;
  void confirm(base::TimePoint Moment);
  /// Another host heard of a change up to \p Revision that this one misses.
  void noteGap(std::uint64_t Revision);

  ObjectSource &Source_;
  const std::string Kind_;
  RecoverySignal &Recovered_;
  const FollowerTimings Pace_;
  const FollowerCallbacks Listeners_;
  base::Random Random_;
  store::Backoff Backoff_;
  ObjectMirror Mirror_;
  /// The next call may be a watch; else what is known may have gaps.
  bool Listed_ = false;
  bool InTrouble_ = false;
  /// Another host heard of changes up to this revision and did not tell them
  /// all. A host that has just listed watches on from its list, which is one
  /// call; a list of some hundred objects is several.
  std::optional<std::uint64_t> Gap_;
  std::optional<base::TimePoint> Confirmed_;
  std::optional<base::TimePoint> Contact_;
  /// What the store took for its last answer, beyond a watch's length.
  base::Duration StoreDelay_{};
  /// When the last call began.
  base::TimePoint Asked_;
  /// The last confirmation speaks for a moment that lies far back.
  bool ConfirmSoon_ = false;
};

} // namespace lychee::live

#endif
