#ifndef LYCHEE_LIVE_OBJECTMIRROR_H
#define LYCHEE_LIVE_OBJECTMIRROR_H

#include "base/Time.h"
#include "live/ObjectSource.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::live {

/// The known objects of one kind, and the recent changes, which can be sent to
/// other hosts.
///
/// Knowledge comes from lists, from watches and from other hosts, which
/// received the same changes in other batches. All of it is turned into changes
/// in the order in which they happened, each reported once.
///
/// Not thread-safe. \see ObjectFollower
class ObjectMirror {
public:
  /// Hosts poll for changes several times per second, so each has done so
  /// within this time; one that has not lists the kind.
  static constexpr base::Duration HistoryRetention = std::chrono::seconds(10);

  /// Replaces the state by a list of all objects.
  /// \returns the changes, including deletions.
  std::vector<StoredObject> replaceAll(const ObjectBatch &List,
                                       base::TimePoint Now);

  /// Applies changes.
  /// \returns those that were not known yet, in order.
  std::vector<StoredObject> apply(const ObjectBatch &Changes,
                                  base::TimePoint Now);

  /// \returns the store's revision up to which everything is known; 0 before
  /// the first list.
  std::uint64_t revision() const noexcept { return Revision_; }
  bool isEmpty() const noexcept { return Revision_ == 0; }

  /// \returns the revision of the last change received.
  std::uint64_t newestRevision() const noexcept { return NewestRevision_; }

  /// \returns whether a change of this revision, which another host received,
  /// is known here from a watch, another host or a list.
  bool covers(std::uint64_t Revision) const noexcept {
    return Revision <= std::max(NewestRevision_, ListedRevision_);
  }

  /// \returns the changes after \p Since; nothing if the history does not go
  /// back that far.
  std::optional<ObjectBatch> changesSince(std::uint64_t Since) const;
  /// \returns the size of the contents of changesSince() as text; 0 if it
  /// returns nothing.
  std::size_t changeBytesSince(std::uint64_t Since) const noexcept;

private:
  struct ChangeBatch {
    /// Everything up to this revision is in this batch or an earlier one.
    std::uint64_t Revision_ = 0;
    base::TimePoint ReceivedAt_;
    std::vector<StoredObject> Objects_;
  };

  /// Marks a deleted object; older changes of the object may still arrive.
  struct Tombstone {
    std::uint64_t Revision_ = 0;
    base::TimePoint ReceivedAt_;
  };

  bool isKnown(const StoredObject &Object) const;
  /// \returns whether the history lacks changes after \p Since.
  bool isTrimmed(std::uint64_t Since) const noexcept {
    return Revision_ == 0 || Since < HistoryStart_;
  }
  void markDeleted(const std::string &Name, std::uint64_t Revision,
                   base::TimePoint Now);
  void appendHistory(std::vector<StoredObject> Changes, std::uint64_t Revision,
                     base::TimePoint Now);

  std::uint64_t Revision_ = 0;
  std::uint64_t NewestRevision_ = 0;
  std::uint64_t ListedRevision_ = 0;
  /// Changes after this revision are in the history.
  std::uint64_t HistoryStart_ = 0;
  std::map<std::string, std::uint64_t> Revisions_;
  std::map<std::string, Tombstone> Tombstones_;
  std::deque<ChangeBatch> History_;
};

} // namespace lychee::live

#endif
