#include "live/ObjectMirror.h"

#include <set>

namespace lychee::live {

/// Compares by object and not only by revision: a store that has stopped
/// delivering changes returns revisions whose changes it withheld.
bool ObjectMirror::isKnown(const StoredObject &Object) const {
  const auto Known = Revisions_.find(Object.Name_);
  if (Object.Deleted_)
    return Known == Revisions_.end() || Known->second > Object.Revision_;
  if (Known != Revisions_.end())
    return Known->second >= Object.Revision_;
  const auto Deletion = Tombstones_.find(Object.Name_);
  return Deletion != Tombstones_.end() &&
         Deletion->second.Revision_ >= Object.Revision_;
}

void ObjectMirror::markDeleted(const std::string &Name, std::uint64_t Revision,
                               base::TimePoint Now) {
  Revisions_.erase(Name);
  Tombstones_[Name] = {Revision, Now};
}

void ObjectMirror::appendHistory(std::vector<StoredObject> Changes,
                                 std::uint64_t Revision, base::TimePoint Now) {
  if (!Changes.empty())
    History_.push_back({Revision, Now, std::move(Changes)});
  while (!History_.empty() &&
         Now - History_.front().ReceivedAt_ > HistoryRetention) {
    HistoryStart_ = History_.front().Revision_;
    History_.pop_front();
  }
  std::erase_if(Tombstones_, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt_ > 2 * HistoryRetention;
  });
}

std::vector<StoredObject> ObjectMirror::replaceAll(const ObjectBatch &List,
                                                   base::TimePoint Now) {
  std::vector<StoredObject> Changes;
  // The list was in transit for long; what is known is newer.
  if (List.Revision_ < Revision_)
    return Changes;
  std::set<std::string_view> Listed;
  for (const StoredObject &Entry : List.Objects_)
    Listed.insert(Entry.Name_);
  for (const auto &[Name, Revision] : Revisions_)
    if (!Listed.contains(Name))
      Changes.push_back({Name, List.Revision_, {}, true});
  for (const StoredObject &Entry : Changes)
    markDeleted(Entry.Name_, Entry.Revision_, Now);
  if (!Changes.empty())
    NewestRevision_ = List.Revision_;
  for (const StoredObject &Entry : List.Objects_) {
    NewestRevision_ = std::max(NewestRevision_, Entry.Revision_);
    if (isKnown(Entry))
      continue;
    Revisions_[Entry.Name_] = Entry.Revision_;
    Changes.push_back(Entry);
  }
  const bool IsFirst = Revision_ == 0;
  Revision_ = List.Revision_;
  ListedRevision_ = List.Revision_;
  if (IsFirst)
    HistoryStart_ = Revision_;
  else
    appendHistory(Changes, Revision_, Now);
  return Changes;
}

std::vector<StoredObject> ObjectMirror::apply(const ObjectBatch &Changes,
                                              base::TimePoint Now) {
  std::vector<StoredObject> NewChanges;
  for (const StoredObject &Entry : Changes.Objects_) {
    NewestRevision_ = std::max(NewestRevision_, Entry.Revision_);
    if (isKnown(Entry))
      continue;
    if (Entry.Deleted_)
      markDeleted(Entry.Name_, Entry.Revision_, Now);
    else
      Revisions_[Entry.Name_] = Entry.Revision_;
    NewChanges.push_back(Entry);
  }
  Revision_ = std::max(Revision_, Changes.Revision_);
  appendHistory(NewChanges, Revision_, Now);
  return NewChanges;
}

std::size_t ObjectMirror::changeBytesSince(std::uint64_t Since) const noexcept {
  std::size_t Bytes = 0;
  if (isTrimmed(Since))
    return Bytes;
  for (const ChangeBatch &Entry : History_)
    if (Entry.Revision_ > Since)
      for (const StoredObject &Object : Entry.Objects_)
        Bytes += Object.Bytes_;
  return Bytes;
}

std::optional<ObjectBatch>
ObjectMirror::changesSince(std::uint64_t Since) const {
  if (isTrimmed(Since))
    return std::nullopt;
  ObjectBatch Found;
  Found.Revision_ = Revision_;
  for (const ChangeBatch &Entry : History_)
    if (Entry.Revision_ > Since)
      Found.Objects_.insert(Found.Objects_.end(), Entry.Objects_.begin(),
                            Entry.Objects_.end());
  return Found;
}

} // namespace lychee::live
