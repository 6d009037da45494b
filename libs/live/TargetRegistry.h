#ifndef LYCHEE_LIVE_TARGETREGISTRY_H
#define LYCHEE_LIVE_TARGETREGISTRY_H

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
};

/// Tracks the targets that registered themselves.
///
/// Failure: entries expire while the store is unavailable, and the first list
/// after its recovery is short or empty. Without a safeguard all targets would
/// be considered gone and callers would be refused although every target is
/// healthy. An entry that disappears within FailureWindow of a store failure is
/// therefore kept for a grace period. Live targets write their entries again in
/// that time, and one that is still missing afterwards is gone. Without a
/// recent failure a missing entry means that the target left, and it is removed
/// immediately. Since a target may also leave without notice shortly after a
/// failure, the grace period ends before the time after which leaving targets
/// must get no more requests.
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
  /// An older failure does not explain a missing entry: three heartbeats of
  /// targets (1.5 s each), after which the platform drops an entry.
  static constexpr base::Duration FailureWindow = std::chrono::seconds(5);

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
  void apply(std::span<const TargetChange> Changes, base::TimePoint Now);
  void put(const TargetRecord &Record, base::TimePoint Now);
  void remove(const base::TargetId &Target, base::TimePoint Now);

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
  };

  void markMissing(Entry &Stored, base::TimePoint Now);

  const base::Duration Grace_;
  std::map<base::TargetId, Entry> Entries_;
  std::optional<base::TimePoint> LastFailure_;
  bool Changed_ = false;
};

} // namespace lychee::live

#endif
