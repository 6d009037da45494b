#include "live/TargetRegistry.h"

#include <algorithm>
#include <utility>

namespace lychee::live {

void TargetRegistry::put(const TargetRecord &Fresh, base::TimePoint Now) {
  Entry &Stored = Entries_[Fresh.Id_];
  const bool Same = Stored.Known_.Record_ == Fresh && !Stored.GoneAt_;
  if (Same)
    return;
  Stored.GoneAt_.reset();
  Stored.Known_.Record_ = Fresh;
  Stored.Known_.ColdUntil_ = Now + Fresh.ColdLeft_;
  Changed_ = true;
}

void TargetRegistry::miss(Entry &Missing, base::TimePoint Now) {
  if (Missing.GoneAt_)
    return;
  const bool MayComeBack = Trouble_ && Now - *Trouble_ < AfterTrouble &&
                           !Missing.Known_.Record_.Leaving_;
  Missing.GoneAt_ = MayComeBack ? Now + Grace_ : Now;
}

void TargetRegistry::remove(const base::TargetId &Gone, base::TimePoint Now) {
  const auto Found = Entries_.find(Gone);
  if (Found == Entries_.end())
    return;
  miss(Found->second, Now);
  expire(Now);
}

void TargetRegistry::apply(std::span<const TargetChange> Changes,
                           base::TimePoint Now) {
  for (const TargetChange &Each : Changes)
    if (Each.Record_)
      put(*Each.Record_, Now);
    else
      remove(Each.Target_, Now);
}

void TargetRegistry::expire(base::TimePoint Now) {
  const auto Gone = std::erase_if(Entries_, [Now](const auto &Each) {
    return Each.second.GoneAt_ && *Each.second.GoneAt_ <= Now;
  });
  Changed_ = Changed_ || Gone > 0;
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
