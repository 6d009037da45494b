#ifndef LYCHEE_LIVE_TARGETREGISTRY_H
#define LYCHEE_LIVE_TARGETREGISTRY_H

#include "live/TargetRecord.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lychee::live {

/// A target as this host knows it.
struct KnownTarget {
  TargetRecord Record_;
  base::TimePoint ColdUntil_;
};

/// One word on a target: what its entry says now, or that it has none.
struct TargetChange {
  base::TargetId Target_;
  std::optional<TargetRecord> Record_;
};

/// Knows the targets that registered themselves.
///
/// Failure: entries expire while the store is away, and the first list after
/// its return is short or empty. Symptom without a safeguard: every target
/// counts as gone at once and callers are refused, although all are well.
/// An entry that goes missing within AfterTrouble of trouble with the store is
/// therefore kept for a grace: live targets write again meanwhile, and one
/// still missing then is gone. Without trouble a missing entry is a target that
/// left, and goes at once. As a target may leave without a word right after
/// trouble, the grace ends before leaving targets must get nothing more.
///
/// Not thread-safe: of the control loop's thread.
class TargetRegistry {
public:
  /// Live targets write again within about 2 s of the store's return.
  static constexpr base::Duration LongestGrace =
      std::chrono::milliseconds(2100);
  /// Of the time after which a leaving target must get nothing more, so much is
  /// kept for hearing of it: half a second in which changes are gathered, and
  /// what a busy host takes to read and act (0.7 s at the most was seen at a
  /// tenth of a core).
  static constexpr base::Duration HearingTime = std::chrono::milliseconds(1200);
  /// Trouble longer ago than this explains no missing entry: three heartbeats
  /// of targets (1.5 s each), after which the platform drops an entry.
  static constexpr base::Duration AfterTrouble = std::chrono::seconds(5);

  /// \param DrainBound  after this a leaving target must get nothing more.
  explicit TargetRegistry(base::Duration DrainBound) noexcept
      : Grace_(std::clamp(DrainBound - HearingTime, base::Duration::zero(),
                          LongestGrace)) {}

  /// The store did not answer, or answered with a failure.
  void noteTrouble(base::TimePoint At) noexcept {
    Trouble_ = Trouble_ ? std::max(*Trouble_, At) : At;
  }

  /// Takes changes in the order in which they happened: what comes together may
  /// hold an entry's last change and its end.
  void apply(std::span<const TargetChange> Changes, base::TimePoint Now);
  void put(const TargetRecord &Fresh, base::TimePoint Now);
  void remove(const base::TargetId &Gone, base::TimePoint Now);

  /// Drops what has been missing for too long. To be called every 100 ms.
  void expire(base::TimePoint Now);

  /// \returns whether anything changed since the last call.
  bool takeChanged() noexcept;

  std::vector<KnownTarget> targets() const;
  std::size_t size() const noexcept { return Entries_.size(); }

private:
  struct Entry {
    KnownTarget Known_;
    std::optional<base::TimePoint> GoneAt_;
  };

  void miss(Entry &Missing, base::TimePoint Now);

  const base::Duration Grace_;
  std::map<base::TargetId, Entry> Entries_;
  std::optional<base::TimePoint> Trouble_;
  bool Changed_ = false;
};

} // namespace lychee::live

#endif
