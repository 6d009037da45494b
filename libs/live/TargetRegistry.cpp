#include "live/TargetRegistry.h"

#include <algorithm>
#include <utility>

namespace lychee::live {

void TargetRegistry::put(const TargetRecord &Record, base::TimePoint Now) {
  Entry &Stored = Entries_[Record.Id_];
  const bool IsSame = Stored.Known_.Record_ == Record && !Stored.ExpiresAt_;
  if (IsSame)
    return;
  Stored.ExpiresAt_.reset();
  Stored.Known_.Record_ = Record;
  Stored.Known_.ColdUntil_ = Now + Record.ColdLeft_;
  Changed_ = true;
}

void TargetRegistry::markMissing(Entry &Stored, base::TimePoint Now) {
  if (Stored.ExpiresAt_)
    return;
  const bool MayComeBack = LastFailure_ &&
                           Now - *LastFailure_ < FailureWindow &&
                           !Stored.Known_.Record_.Leaving_;
  Stored.ExpiresAt_ = MayComeBack ? Now + Grace_ : Now;
}

void TargetRegistry::remove(const base::TargetId &Target, base::TimePoint Now) {
  const auto Found = Entries_.find(Target);
  if (Found == Entries_.end())
    return;
  markMissing(Found->second, Now);
  expire(Now);
}

void TargetRegistry::apply(std::span<const TargetChange> Changes,
                           base::TimePoint Now) {
  for (const TargetChange &Change : Changes)
    if (Change.Record_)
      put(*Change.Record_, Now);
    else
      remove(Change.Target_, Now);
}

void TargetRegistry::expire(base::TimePoint Now) {
  const auto Removed = std::erase_if(Entries_, [Now](const auto &Item) {
    return Item.second.ExpiresAt_ && *Item.second.ExpiresAt_ <= Now;
  });
  Changed_ = Changed_ || Removed > 0;
}

bool TargetRegistry::takeChanged() noexcept {
  return std::exchange(Changed_, false);
}

std::vector<KnownTarget> TargetRegistry::targets() const {
  std::vector<KnownTarget> All;
  All.reserve(Entries_.size());
  for (const auto &[Id, Stored] : Entries_)
    All.push_back(Stored.Known_);
  return All;
}

} // namespace lychee::live
