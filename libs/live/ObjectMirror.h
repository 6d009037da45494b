#ifndef LYCHEE_LIVE_OBJECTMIRROR_H
#define LYCHEE_LIVE_OBJECTMIRROR_H

#include "base/Time.h"
#include "live/ObjectSource.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lychee::live {

/// The known objects of one kind, and the recent changes, which can be sent to
/// other hosts.
///
/// Knowledge comes from lists, from watches and from other hosts, which
/// received the same changes in other batches. All of it is turned into changes
/// in the order in which they happened, each reported once.
///
/// The first list of a new era is compared with what is known by content, as
/// its revisions have nothing to do with the earlier ones. Differences are
/// reported as restored. Other hosts get the whole list, without the contents
/// that have not changed. \see StoreRevision
///
/// Not thread-safe. \see ObjectFollower
class ObjectMirror {
public:
  /// Hosts poll for changes several times per second, so each has done so
  /// within this time; one that has not lists the kind.
  static constexpr base::Duration HistoryRetention = std::chrono::seconds(10);
  /// Larger contents count as changed whenever they are compared: to hash each
  /// of their changes would take longer.
  static constexpr std::size_t MaxHashedBytes = std::size_t{32} << 10;

  /// Replaces the state by a list of all objects.
  /// \returns the changes, including deletions.
  std::vector<StoredObject> replaceAll(const ObjectBatch &List,
                                       base::TimePoint Now);

  /// Applies changes. Those of an earlier era than the state are ignored.
  /// \returns those that were not known yet, in order.
  std::vector<StoredObject> apply(const ObjectBatch &Changes,
                                  base::TimePoint Now);

  /// \returns whether changes were not applied since the last call, because
  /// they leave out contents that are not known here.
  bool takeIncomplete() noexcept { return std::exchange(Incomplete_, false); }

  /// \returns the store's revision up to which everything is known; 0 before
  /// the first list.
  StoreRevision revision() const noexcept { return Revision_; }
  bool isEmpty() const noexcept { return Revision_ == StoreRevision(); }

  /// \returns the revision of the last change received.
  StoreRevision newestRevision() const noexcept { return NewestRevision_; }

  /// \returns whether a change of this revision, which another host received,
  /// is known here from a watch, another host or a list.
  bool covers(StoreRevision Revision) const noexcept {
    return Revision <= std::max(NewestRevision_, ListedRevision_);
  }

  /// \returns the changes after \p Since; nothing if the history does not go
  /// back that far.
  std::optional<ObjectBatch> changesSince(StoreRevision Since) const;
  /// \returns the size of the contents of changesSince() as text; 0 if it
  /// returns nothing.
  std::size_t changeBytesSince(StoreRevision Since) const noexcept;

private:
  struct ChangeBatch {
    /// Everything up to this revision is in this batch or an earlier one.
    StoreRevision Revision_;
    base::TimePoint ReceivedAt_;
    std::vector<StoredObject> Objects_;
  };

  struct KnownObject {
    StoreRevision Revision_;
    /// Nothing if the content is larger than MaxHashedBytes.
    std::optional<std::uint64_t> ContentHash_;
  };

  /// Marks a deleted object; older changes of the object may still arrive.
  struct Tombstone {
    StoreRevision Revision_;
    base::TimePoint ReceivedAt_;
  };

  bool isKnown(const StoredObject &Object) const;
  /// \returns whether the history lacks changes after \p Since.
  bool isTrimmed(StoreRevision Since) const noexcept {
    return isEmpty() || Since < HistoryStart_;
  }
  bool hasContent(const StoredObject &Object) const;
  /// Records the state of an object that is not known yet.
  void store(const StoredObject &Object, base::TimePoint Now);
  /// \returns deletions of the objects that only an earlier era had.
  std::vector<StoredObject> deleteEarlierThan(StoreRevision Revision,
                                              base::TimePoint Now);
  std::vector<StoredObject> restoreAll(const ObjectBatch &List,
                                       base::TimePoint Now);
  void markDeleted(const std::string &Name, StoreRevision Revision,
                   base::TimePoint Now);
  void appendHistory(std::vector<StoredObject> Changes, StoreRevision Revision,
                     base::TimePoint Now);

  StoreRevision Revision_;
  StoreRevision NewestRevision_;
  StoreRevision ListedRevision_;
  /// Changes after this revision are in the history.
  StoreRevision HistoryStart_;
  std::map<std::string, KnownObject> Objects_;
  std::map<std::string, Tombstone> Tombstones_;
  std::deque<ChangeBatch> History_;
  bool Incomplete_ = false;
};

} // namespace lychee::live

#endif
