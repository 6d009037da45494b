#ifndef LYCHEE_LIVE_TARGETBOOK_H
#define LYCHEE_LIVE_TARGETBOOK_H

#include "live/TargetRecord.h"

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

/// Knows the targets that registered themselves.
///
/// Failure: entries expire while the store is away, and the first list after
/// its return is short or empty. Symptom without a safeguard: every target
/// counts as gone at once and callers are refused, although all are well.
/// An entry that goes missing within AfterTrouble of trouble with the store is
/// therefore kept for MissingGrace: live targets write again within about 2 s,
/// and one still missing then is gone. Without trouble a missing entry is a
/// target that left, and goes at once.
///
/// Not thread-safe: of the control loop's thread.
class TargetBook {
public:
  /// Live targets write within about 2 s of the store's return; leaving ones
  /// must get nothing more 2.5 s after they said so. Between the two.
  static constexpr base::Duration MissingGrace =
      std::chrono::milliseconds(2100);
  /// Trouble longer ago than this explains no missing entry: three heartbeats
  /// of targets (1.5 s each), after which the platform drops an entry.
  static constexpr base::Duration AfterTrouble = std::chrono::seconds(5);

  /// The store did not answer, or answered with a failure.
  void noteTrouble(base::TimePoint Now) noexcept { Trouble_ = Now; }

  /// Takes the whole list: what is not in it is missing.
  void replaceAll(std::span<const TargetRecord> All, base::TimePoint Now);
  void put(const TargetRecord &Fresh, base::TimePoint Now);
  void remove(const base::TargetId &Gone, base::TimePoint Now);

  /// Drops what has been missing for too long. To be called every 100 ms.
  void expire(base::TimePoint Now);

  /// \returns whether anything changed since the last call.
  bool takeChanged() noexcept;

  std::vector<KnownTarget> targets() const;

private:
  struct Entry {
    KnownTarget Known_;
    std::optional<base::TimePoint> GoneAt_;
  };

  void miss(Entry &Missing, base::TimePoint Now);

  std::map<base::TargetId, Entry> Entries_;
  std::optional<base::TimePoint> Trouble_;
  bool Changed_ = false;
};

} // namespace lychee::live

#endif
