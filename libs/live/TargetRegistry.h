#ifndef LYCHEE_LIVE_TARGETREGISTRY_H
#define LYCHEE_LIVE_TARGETREGISTRY_H

#include "live/StoreRevision.h"
#include "live/TargetRecord.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lychee::live {

/// A target as known by this host.
struct KnownTarget {
  TargetRecord Record_;
  base::TimePoint ColdUntil_;
};

/// A change of a target's entry; without a record the entry was deleted.
struct TargetChange {
  base::TargetId Target_;
  std::optional<TargetRecord> Record_;
  /// \see StoredObject::Restored_
  bool Restored_ = false;
};

/// Reason why the state known of a target outlasts that in the store.
enum class TargetKept {
  /// The store failed a moment ago, and has no entry: the target may write it
  /// again.
  StoreFailed,
  /// The target said that it leaves.
  Leaving,
  /// The store has an earlier start of the target.
  LaterStart,
  /// The target is gone.
  Gone,
  /// A restored store has no entry, and the target may write it again.
  Missing,
};

/// Decision about a target on which the store differs from what is known.
struct KeptTarget {
  base::TargetId Target_;
  TargetKept Reason_ = TargetKept::Missing;
  /// Time for which the target is kept; nothing if none is set.
  std::optional<base::Duration> For_ = std::nullopt;
};

/// Tracks the targets that registered themselves.
///
/// Failure: entries expire while the store is unavailable, and the first list
/// after its recovery is short or empty. Without a safeguard all targets would
/// be considered gone and callers would be refused although every target is
/// healthy. An entry that disappears shortly after a store failure is therefore
/// kept for a grace period. Live targets write their entries again in that
/// time, and one that is still missing afterwards is gone. Without a recent
/// failure a missing entry means that the target left, and it is removed
/// immediately. Since a target may also leave without notice shortly after a
/// failure, the grace period ends before the time after which leaving targets
/// must get no more requests.
///
/// Failure: a target leaves without notice when the store is sound again, and
/// the hosts that learn of it die before they tell the others. Without a
/// safeguard these keep the target for a whole grace period from the late
/// moment at which they learn of it. The period therefore also ends with the
/// time that live targets have after the failure, however late the news is.
///
/// Failure: the store comes back from an older copy, in which a target that has
/// left since is ready, and one that registered since is missing. Without a
/// safeguard the first gets requests and the second none. What a target said
/// later, by its start and its leaving, therefore outlasts the copy. A target
/// that is gone stays so for as long as the platform keeps the entry of a dead
/// target, and a missing one is kept until it should have written its entry
/// again.
///
/// Not thread-safe; used on the control loop's thread.
class TargetRegistry {
public:
  /// Live targets write their entries again within about 2 s of the store's
  /// recovery.
  static constexpr base::Duration MaxGrace = std::chrono::milliseconds(2100);
  /// Part of the drain bound that is reserved for learning of a leaving target:
  /// half a second in which changes are batched, and the time that a busy host
  /// takes to read and act (up to 0.7 s at a tenth of a core).
  static constexpr base::Duration PropagationTime =
      std::chrono::milliseconds(1200);
  /// Grace period of entries that a restored store lacks. It may exceed the
  /// drain bound: no target has said that it leaves.
  static constexpr base::Duration RestoreGrace =
      RewriteTime + RewriteLearningTime;
  /// The store drops the entry of a target that is silent for three heartbeats
  /// (1.5 s each); one that is still there after this time is alive.
  static constexpr base::Duration DeadEntryTime = std::chrono::seconds(6);
  /// Targets that ended are remembered for longer than copies are old.
  static constexpr base::Duration EndedMemory = std::chrono::seconds(60);
  /// A host that fails to reach the store calls it again within this time, so
  /// the store came back at most this much later than the last failure.
  static constexpr base::Duration RetryTime = std::chrono::milliseconds(500);

  /// \param DrainBound time after which a leaving target must get no more
  /// requests.
  explicit TargetRegistry(base::Duration DrainBound) noexcept
      : Grace_(std::clamp(DrainBound - PropagationTime, base::Duration::zero(),
                          MaxGrace)) {}

  /// Records that the store did not respond, or responded with an error.
  void noteTrouble(base::TimePoint Time) noexcept {
    LastFailure_ = LastFailure_ ? std::max(*LastFailure_, Time) : Time;
  }

  /// Applies changes in the order in which they happened. One batch may hold
  /// both an entry's last change and its deletion.
  /// \returns the decisions against the store's state.
  std::vector<KeptTarget> apply(std::span<const TargetChange> Changes,
                                base::TimePoint Now);
  void put(const TargetRecord &Record, base::TimePoint Now);
  /// \returns the decision if the target is kept for now.
  std::optional<KeptTarget> remove(const base::TargetId &Target,
                                   base::TimePoint Now);

  /// Records that the store came back from a copy, perhaps again: entries that
  /// are to be written again get the whole time for it.
  void noteRestore(base::TimePoint Now);

  /// Removes targets whose grace period has ended. To be called every 100 ms.
  void expire(base::TimePoint Now);

  /// \returns whether anything changed since the last call.
  bool takeChanged() noexcept;

  std::vector<KnownTarget> targets() const;
  std::size_t size() const noexcept { return Entries_.size(); }

private:
  struct Entry {
    KnownTarget Known_;
    std::optional<base::TimePoint> ExpiresAt_;
    /// The entry is missing from a restored store.
    bool AwaitsRewrite_ = false;
  };
  struct Ended {
    std::int64_t Started_ = 0;
    base::TimePoint At_;
  };
  /// An entry of a restored store that is not believed yet.
  struct Doubted {
    TargetRecord Record_;
    base::TimePoint BelievedAt_;
  };

  /// \returns when the target is removed.
  base::TimePoint markMissing(Entry &Stored, base::TimePoint Now);
  std::optional<TargetKept> restore(const TargetRecord &Record,
                                    base::TimePoint Now);
  std::optional<TargetKept> restoreMissing(const base::TargetId &Target,
                                           base::TimePoint Now);
  static void awaitRewrite(Entry &Stored, base::TimePoint Now);

  const base::Duration Grace_;
  std::map<base::TargetId, Entry> Entries_;
  std::map<base::TargetId, Ended> Ended_;
  std::map<base::TargetId, Doubted> Doubted_;
  std::optional<base::TimePoint> LastFailure_;
  bool Changed_ = false;
};

} // namespace lychee::live

#endif
