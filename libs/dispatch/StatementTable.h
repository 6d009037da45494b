#ifndef LYCHEE_DISPATCH_STATEMENTTABLE_H
#define LYCHEE_DISPATCH_STATEMENTTABLE_H

#include "dispatch/TargetStatements.h"

#include <map>
#include <memory>
#include <vector>

namespace lychee::dispatch {

/// The statements of the targets that made any, by the target and its start.
///
/// Failure: a target's entry disappears for a moment, because the store was
/// away or a service was configured anew, and what the target had asked for was
/// forgotten with it. So statements are kept for a while after their target.
/// Not thread-safe. \see TargetStatements
class StatementTable {
public:
  /// Time for which the statements of a target without an entry are kept: an
  /// outage of the store is shorter, and a target that left has ended.
  static constexpr base::Duration RetentionTime = std::chrono::minutes(10);
  /// Largest number of targets without an entry whose leaving other hosts
  /// announced: entries may arrive after the announcement.
  static constexpr std::size_t MaxUnknownTargets = 512;

  /// \returns a target's statements; null where it stated nothing.
  std::shared_ptr<TargetStatements> find(std::uint64_t Target) const;
  /// \returns a target's statements, which are added where it had none.
  std::shared_ptr<TargetStatements> at(std::uint64_t Target,
                                       base::TimePoint Now);
  /// The same for a target that has no entry yet. \returns null where too many
  /// such targets are known.
  TargetStatements *atUnknown(std::uint64_t Target, base::TimePoint Now);

  /// Drops the statements of targets that have had no entry for too long. To be
  /// called every 250 ms.
  void expire(base::TimePoint Now);

  /// \returns the newest rates and leavings that \p IsDue selects.
  std::vector<members::TargetRate>
  rates(bool (Announcement::*IsDue)(base::TimePoint) const,
        base::TimePoint Now) const;
  std::vector<members::TargetLeaving>
  leavings(bool (Announcement::*IsDue)(base::TimePoint) const,
           base::TimePoint Now) const;

  std::size_t size() const noexcept { return Entries_.size(); }

private:
  struct Entry {
    std::shared_ptr<TargetStatements> Stated_;
    base::TimePoint LastUsed_;
  };

  /// \returns whether a target holds the statements.
  static bool isUsed(const Entry &Stored) noexcept {
    return Stored.Stated_.use_count() > 1;
  }

  std::map<std::uint64_t, Entry> Entries_;
};

} // namespace lychee::dispatch

#endif
