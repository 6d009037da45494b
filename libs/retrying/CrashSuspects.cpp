#include "retrying/CrashSuspects.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::retrying {

void CrashSuspects::recordTargetLoss(std::uint64_t Fingerprint,
                                     const base::TargetId &Target,
                                     base::TimePoint Now) {
  add(Fingerprint, {base::stableHash(Target.name()), Now});
}

void CrashSuspects::recordResponse(std::uint64_t Fingerprint) {
  if (Count_.load(std::memory_order_relaxed) == 0)
    return;
  Shard &Home = shardOf(Fingerprint);
  const std::scoped_lock Guard(Home.Lock_);
  Count_ -= Home.Losses_.erase(Fingerprint);
}

void CrashSuspects::forgetSince(base::TimePoint Since) {
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Fingerprint, Seen] : Each.Losses_)
      for (Loss &One : Seen)
        if (One.At_ >= Since)
          One = {};
    Count_ -= std::erase_if(Each.Losses_, [](const auto &Entry) {
      return Entry.second[0].Target_ == 0 && Entry.second[1].Target_ == 0;
    });
  }
}

base::TimePoint CrashSuspects::suspectUntil(std::uint64_t Fingerprint,
                                            base::TimePoint Now) const {
  if (Count_.load(std::memory_order_relaxed) == 0)
    return Now;
  const Shard &Home = shardOf(Fingerprint);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Losses_.find(Fingerprint);
  if (Found == Home.Losses_.end() || Found->second[1].Target_ == 0)
    return Now;
  const Losses &Seen = Found->second;
  const base::TimePoint Older = std::min(Seen[0].At_, Seen[1].At_);
  const base::TimePoint Newer = std::max(Seen[0].At_, Seen[1].At_);
  if (Newer - Older > EvidenceLifetime)
    return Now;
  return std::max(Now, Newer + EvidenceLifetime);
}

bool CrashSuspects::isSuspect(const Losses &Seen) noexcept {
  return Seen[0].Target_ != 0 && Seen[1].Target_ != 0;
}

base::Duration CrashSuspects::announcePeriodOf(const Losses &Seen) noexcept {
  return isSuspect(Seen) ? EvidenceLifetime : AnnouncePeriod;
}

std::vector<CrashEvidence> CrashSuspects::evidence(base::TimePoint Now) const {
  std::vector<CrashEvidence> Suspects;
  std::vector<CrashEvidence> Others;
  for (const Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (const auto &[Fingerprint, Seen] : Each.Losses_)
      for (const Loss &One : Seen)
        if (One.Target_ != 0 && Now - One.At_ <= announcePeriodOf(Seen))
          (isSuspect(Seen) ? Suspects : Others)
              .push_back({Fingerprint, One.Target_, Now - One.At_});
  }
  const auto IsNewer = [](const CrashEvidence &Left,
                          const CrashEvidence &Right) {
    return Left.Age_ < Right.Age_;
  };
  std::sort(Suspects.begin(), Suspects.end(), IsNewer);
  std::sort(Others.begin(), Others.end(), IsNewer);
  Suspects.insert(Suspects.end(), Others.begin(), Others.end());
  Suspects.resize(std::min(Suspects.size(), MaxAnnounced));
  return Suspects;
}

void CrashSuspects::merge(std::span<const CrashEvidence> Received,
                          base::TimePoint Now) {
  for (const CrashEvidence &One : Received)
    if (One.Age_ <= EvidenceLifetime)
      add(One.Fingerprint_, {One.Target_, Now - One.Age_});
}

CrashSuspects::Shard &
CrashSuspects::shardOf(std::uint64_t Fingerprint) const noexcept {
  return Shards_[Fingerprint % ShardCount];
}

void CrashSuspects::add(std::uint64_t Fingerprint, Loss Seen) {
  Shard &Home = shardOf(Fingerprint);
  const std::scoped_lock Guard(Home.Lock_);
  if (Home.Losses_.size() >= MaxFingerprints / ShardCount &&
      !Home.Losses_.contains(Fingerprint))
    evictOldest(Home);
  const auto [Entry, IsNew] = Home.Losses_.try_emplace(Fingerprint);
  if (IsNew)
    ++Count_;
  Losses &Known = Entry->second;
  const auto Same =
      std::find_if(Known.begin(), Known.end(), [&Seen](const Loss &One) {
        return One.Target_ == Seen.Target_;
      });
  if (Same != Known.end()) {
    Same->At_ = std::max(Same->At_, Seen.At_);
    return;
  }
  Loss &Oldest = Known[0].Target_ == 0          ? Known[0]
                 : Known[1].Target_ == 0        ? Known[1]
                 : Known[0].At_ <= Known[1].At_ ? Known[0]
                                                : Known[1];
  if (Oldest.Target_ == 0 || Oldest.At_ < Seen.At_)
    Oldest = Seen;
}

void CrashSuspects::evictOldest(Shard &Full) {
  const auto LatestOf = [](const Losses &Seen) {
    return std::max(Seen[0].At_, Seen[1].At_);
  };
  const auto Oldest =
      std::min_element(Full.Losses_.begin(), Full.Losses_.end(),
                       [LatestOf](const auto &Left, const auto &Right) {
                         return LatestOf(Left.second) < LatestOf(Right.second);
                       });
  Full.Losses_.erase(Oldest);
  --Count_;
}

} // namespace lychee::retrying
