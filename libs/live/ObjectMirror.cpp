#include "live/ObjectMirror.h"

#include "base/Hash.h"

#include <json/writer.h>
#include <set>

namespace lychee::live {

namespace {

std::optional<std::uint64_t> contentHash(const StoredObject &Object) {
  if (Object.Bytes_ > ObjectMirror::MaxHashedBytes)
    return std::nullopt;
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return base::stableHash(Json::writeString(Builder, Object.Content_));
}

} // namespace

/// Compares by object and not only by revision: a store that has stopped
/// delivering changes returns revisions whose changes it withheld.
bool ObjectMirror::isKnown(const StoredObject &Object) const {
  const auto Known = Objects_.find(Object.Name_);
  if (Object.Deleted_)
    return Known == Objects_.end() ||
           Known->second.Revision_ > Object.Revision_;
  if (Known != Objects_.end())
    return Known->second.Revision_ >= Object.Revision_;
  const auto Deletion = Tombstones_.find(Object.Name_);
  return Deletion != Tombstones_.end() &&
         Deletion->second.Revision_ >= Object.Revision_;
}

bool ObjectMirror::hasContent(const StoredObject &Object) const {
  const auto Known = Objects_.find(Object.Name_);
  return Known != Objects_.end() && Object.ContentHash_ &&
         Known->second.ContentHash_ == Object.ContentHash_;
}

void ObjectMirror::markDeleted(const std::string &Name, StoreRevision Revision,
                               base::TimePoint Now) {
  Objects_.erase(Name);
  Tombstones_[Name] = {Revision, Now};
}

void ObjectMirror::store(const StoredObject &Object, base::TimePoint Now) {
  if (Object.Deleted_) {
    markDeleted(Object.Name_, Object.Revision_, Now);
    return;
  }
  Objects_[Object.Name_] = {Object.Revision_, Object.ContentHash_
                                                  ? Object.ContentHash_
                                                  : contentHash(Object)};
}

void ObjectMirror::appendHistory(std::vector<StoredObject> Changes,
                                 StoreRevision Revision, base::TimePoint Now) {
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
  if (!isEmpty() && List.Revision_.Era_ > Revision_.Era_)
    return restoreAll(List, Now);
  std::set<std::string_view> Listed;
  for (const StoredObject &Entry : List.Objects_)
    Listed.insert(Entry.Name_);
  for (const auto &[Name, Known] : Objects_)
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
    store(Entry, Now);
    Changes.push_back(Entry);
  }
  const bool IsFirst = isEmpty();
  Revision_ = List.Revision_;
  ListedRevision_ = List.Revision_;
  if (IsFirst)
    HistoryStart_ = Revision_;
  else
    appendHistory(Changes, Revision_, Now);
  return Changes;
}

std::vector<StoredObject> ObjectMirror::restoreAll(const ObjectBatch &List,
                                                   base::TimePoint Now) {
  ObjectBatch Restored = List;
  for (StoredObject &Entry : Restored.Objects_) {
    Entry.Restored_ = true;
    Entry.ContentHash_ = contentHash(Entry);
    if (hasContent(Entry)) {
      Entry.Content_ = Json::Value();
      Entry.Bytes_ = 0;
    } else {
      Entry.ContentHash_.reset();
    }
  }
  ListedRevision_ = List.Revision_;
  return apply(Restored, Now);
}

std::vector<StoredObject>
ObjectMirror::deleteEarlierThan(StoreRevision Revision, base::TimePoint Now) {
  std::vector<StoredObject> Deletions;
  for (const auto &[Name, Known] : Objects_)
    if (Known.Revision_.Era_ < Revision.Era_)
      Deletions.push_back({.Name_ = Name,
                           .Revision_ = Revision,
                           .Content_ = {},
                           .Deleted_ = true,
                           .Restored_ = true});
  for (const StoredObject &Entry : Deletions)
    markDeleted(Entry.Name_, Entry.Revision_, Now);
  return Deletions;
}

std::vector<StoredObject> ObjectMirror::apply(const ObjectBatch &Changes,
                                              base::TimePoint Now) {
  std::vector<StoredObject> NewChanges;
  if (Changes.Revision_.Era_ < Revision_.Era_)
    return NewChanges;
  std::vector<StoredObject> Applied;
  for (const StoredObject &Entry : Changes.Objects_) {
    NewestRevision_ = std::max(NewestRevision_, Entry.Revision_);
    if (isKnown(Entry))
      continue;
    if (Entry.ContentHash_ && !hasContent(Entry)) {
      // The whole list is needed; until then nothing of its era counts as
      // known, and what was applied of it is applied again.
      Incomplete_ = true;
      return NewChanges;
    }
    store(Entry, Now);
    Applied.push_back(Entry);
    if (!Entry.ContentHash_)
      NewChanges.push_back(Entry);
  }
  if (Changes.Revision_.Era_ > Revision_.Era_)
    for (StoredObject &Entry : deleteEarlierThan(Changes.Revision_, Now)) {
      Applied.push_back(Entry);
      NewChanges.push_back(std::move(Entry));
    }
  Revision_ = std::max(Revision_, Changes.Revision_);
  appendHistory(std::move(Applied), Revision_, Now);
  return NewChanges;
}

std::size_t ObjectMirror::changeBytesSince(StoreRevision Since) const noexcept {
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
ObjectMirror::changesSince(StoreRevision Since) const {
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
