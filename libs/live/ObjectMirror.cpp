#include "live/ObjectMirror.h"

#include <set>

namespace lychee::live {

/// A store that goes deaf tells revisions whose changes it kept back, so what
/// is known is asked by object and not by revision alone.
bool ObjectMirror::isKnown(const StoredObject &Said) const {
  const auto Known = Revisions_.find(Said.Name_);
  if (Said.Deleted_)
    return Known == Revisions_.end() || Known->second > Said.Revision_;
  if (Known != Revisions_.end())
    return Known->second >= Said.Revision_;
  const auto Ended = Ended_.find(Said.Name_);
  return Ended != Ended_.end() && Ended->second.At_ >= Said.Revision_;
}

void ObjectMirror::forget(const std::string &Name, std::uint64_t Revision,
                          base::TimePoint Now) {
  Revisions_.erase(Name);
  Ended_[Name] = {Revision, Now};
}

void ObjectMirror::remember(std::vector<StoredObject> News, std::uint64_t At,
                            base::TimePoint Now) {
  if (!News.empty())
    Portions_.push_back({At, Now, std::move(News)});
  while (!Portions_.empty() && Now - Portions_.front().Heard_ > Remembered) {
    From_ = Portions_.front().At_;
    Portions_.pop_front();
  }
  std::erase_if(Ended_, [Now](const auto &Each) {
    return Now - Each.second.Heard_ > 2 * Remembered;
  });
}

std::vector<StoredObject> ObjectMirror::replaceAll(const ObjectBatch &All,
                                                   base::TimePoint Now) {
  std::vector<StoredObject> News;
  // A list that was long under way: what is known is newer.
  if (All.Revision_ < At_)
    return News;
  std::set<std::string_view> Listed;
  for (const StoredObject &Each : All.Objects_)
    Listed.insert(Each.Name_);
  for (const auto &[Name, Revision] : Revisions_)
    if (!Listed.contains(Name))
      News.push_back({Name, All.Revision_, {}, true});
  for (const StoredObject &Each : News)
    forget(Each.Name_, Each.Revision_, Now);
  if (!News.empty())
    Newest_ = All.Revision_;
  for (const StoredObject &Each : All.Objects_) {
    Newest_ = std::max(Newest_, Each.Revision_);
    if (isKnown(Each))
      continue;
    Revisions_[Each.Name_] = Each.Revision_;
    News.push_back(Each);
  }
  const bool First = At_ == 0;
  At_ = All.Revision_;
  ListedAt_ = All.Revision_;
  if (First)
    From_ = At_;
  else
    remember(News, At_, Now);
  return News;
}

std::vector<StoredObject> ObjectMirror::apply(const ObjectBatch &Changes,
                                              base::TimePoint Now) {
  std::vector<StoredObject> News;
  for (const StoredObject &Each : Changes.Objects_) {
    Newest_ = std::max(Newest_, Each.Revision_);
    if (isKnown(Each))
      continue;
    if (Each.Deleted_)
      forget(Each.Name_, Each.Revision_, Now);
    else
      Revisions_[Each.Name_] = Each.Revision_;
    News.push_back(Each);
  }
  At_ = std::max(At_, Changes.Revision_);
  remember(News, At_, Now);
  return News;
}

std::size_t ObjectMirror::bytesSince(std::uint64_t Since) const noexcept {
  std::size_t Bytes = 0;
  if (isForgotten(Since))
    return Bytes;
  for (const Portion &Each : Portions_)
    if (Each.At_ > Since)
      for (const StoredObject &Object : Each.Objects_)
        Bytes += Object.Bytes_;
  return Bytes;
}

std::optional<ObjectBatch> ObjectMirror::since(std::uint64_t Since) const {
  if (isForgotten(Since))
    return std::nullopt;
  ObjectBatch Found;
  Found.Revision_ = At_;
  for (const Portion &Each : Portions_)
    if (Each.At_ > Since)
      Found.Objects_.insert(Found.Objects_.end(), Each.Objects_.begin(),
                            Each.Objects_.end());
  return Found;
}

} // namespace lychee::live
