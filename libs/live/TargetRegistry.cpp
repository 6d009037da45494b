#include "live/TargetRegistry.h"

#include <algorithm>
#include <utility>

namespace lychee::live {

void TargetRegistry::put(const TargetRecord &Record, base::TimePoint Now) {
  Doubted_.erase(Record.Id_);
  Ended_.erase(Record.Id_);
  Entry &Stored = Entries_[Record.Id_];
  const bool IsSame = Stored.Known_.Record_ == Record && !Stored.ExpiresAt_;
  if (IsSame)
    return;
  Stored.ExpiresAt_.reset();
  Stored.AwaitsRewrite_ = false;
  Stored.Known_.Record_ = Record;
  Stored.Known_.ColdUntil_ = Now + Record.ColdLeft_;
  Changed_ = true;
}

base::TimePoint TargetRegistry::markMissing(Entry &Stored,
                                            base::TimePoint Now) {
  if (Stored.ExpiresAt_ && !Stored.AwaitsRewrite_)
    return *Stored.ExpiresAt_;
  Stored.AwaitsRewrite_ = false;
  const bool MayComeBack = LastFailure_ && !Stored.Known_.Record_.Leaving_;
  const base::TimePoint End =
      MayComeBack ? std::min(Now + Grace_, *LastFailure_ + RetryTime + MaxGrace)
                  : Now;
  Stored.ExpiresAt_ = End;
  return End;
}

std::optional<KeptTarget> TargetRegistry::remove(const base::TargetId &Target,
                                                 base::TimePoint Now) {
  Doubted_.erase(Target);
  const auto Found = Entries_.find(Target);
  if (Found == Entries_.end())
    return std::nullopt;
  const base::Duration Left = markMissing(Found->second, Now) - Now;
  expire(Now);
  if (Left <= base::Duration::zero())
    return std::nullopt;
  return KeptTarget{Target, TargetKept::StoreFailed, Left};
}

void TargetRegistry::awaitRewrite(Entry &Stored, base::TimePoint Now) {
  Stored.AwaitsRewrite_ = true;
  Stored.ExpiresAt_ = Now + RestoreGrace;
}

std::optional<TargetKept> TargetRegistry::restore(const TargetRecord &Record,
                                                  base::TimePoint Now) {
  const auto Found = Entries_.find(Record.Id_);
  if (Found != Entries_.end()) {
    const TargetRecord &Known = Found->second.Known_.Record_;
    if (Record.Started_ < Known.Started_) {
      awaitRewrite(Found->second, Now);
      return TargetKept::LaterStart;
    }
    if (Record.Started_ == Known.Started_ && Known.Leaving_ && !Record.Leaving_)
      return TargetKept::Leaving;
  }
  const auto Left = Ended_.find(Record.Id_);
  if (Found == Entries_.end() && Left != Ended_.end() &&
      Record.Started_ <= Left->second.Started_) {
    Doubted_[Record.Id_] = {Record, Now + DeadEntryTime};
    return TargetKept::Gone;
  }
  put(Record, Now);
  return std::nullopt;
}

std::optional<TargetKept>
TargetRegistry::restoreMissing(const base::TargetId &Target,
                               base::TimePoint Now) {
  Doubted_.erase(Target);
  const auto Found = Entries_.find(Target);
  if (Found == Entries_.end())
    return std::nullopt;
  if (Found->second.Known_.Record_.Leaving_) {
    remove(Target, Now);
    return std::nullopt;
  }
  awaitRewrite(Found->second, Now);
  return TargetKept::Missing;
}

std::vector<KeptTarget>
TargetRegistry::apply(std::span<const TargetChange> Changes,
                      base::TimePoint Now) {
  std::vector<KeptTarget> AllKept;
  for (const TargetChange &Change : Changes) {
    std::optional<KeptTarget> Kept;
    if (Change.Restored_) {
      const auto Reason = Change.Record_ ? restore(*Change.Record_, Now)
                                         : restoreMissing(Change.Target_, Now);
      if (Reason)
        Kept = {Change.Target_, *Reason};
    } else if (Change.Record_) {
      put(*Change.Record_, Now);
    } else {
      Kept = remove(Change.Target_, Now);
    }
    if (Kept)
      AllKept.push_back(std::move(*Kept));
  }
  return AllKept;
}

void TargetRegistry::noteRestore(base::TimePoint Now) {
  for (auto &[Id, Stored] : Entries_)
    if (Stored.AwaitsRewrite_)
      awaitRewrite(Stored, Now);
  for (auto &[Id, Held] : Doubted_)
    Held.BelievedAt_ = Now + DeadEntryTime;
}

void TargetRegistry::expire(base::TimePoint Now) {
  const auto Removed = std::erase_if(Entries_, [&](const auto &Item) {
    const bool IsGone =
        Item.second.ExpiresAt_ && *Item.second.ExpiresAt_ <= Now;
    if (IsGone)
      Ended_[Item.first] = {Item.second.Known_.Record_.Started_, Now};
    return IsGone;
  });
  Changed_ = Changed_ || Removed > 0;
  std::vector<TargetRecord> Believed;
  for (const auto &[Id, Held] : Doubted_)
    if (Held.BelievedAt_ <= Now)
      Believed.push_back(Held.Record_);
  for (const TargetRecord &Record : Believed)
    put(Record, Now);
  std::erase_if(Ended_, [Now](const auto &Item) {
    return Now - Item.second.At_ > EndedMemory;
  });
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
