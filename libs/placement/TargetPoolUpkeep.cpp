// The slow side of TargetPool: declared targets, peers, health, medians.
#include "base/Hash.h"
#include "placement/HomeSlots.h"
#include "placement/TargetPool.h"

#include <algorithm>

namespace lychee::placement {

namespace {

using Trust = PoolState::Trust;
using Sign = TargetHealth::Sign;

/// Part of the pool that slow or faulty targets may make up and be ejected.
/// Above it, a common cause is likelier than as many single ones.
constexpr double MostDoubtful = 0.3;
/// The same for unreachable ones: a lost availability zone takes half of a
/// region's targets, and sending there is certainly in vain.
constexpr double MostUnreachable = 0.67;
/// How long a doubted measurement stays doubted.
constexpr base::Duration SuspicionTime = std::chrono::seconds(5);
/// Unreachable sends without any answer, and the time, after which a pool is
/// lost: as many as eject a target, at two of them.
constexpr std::uint32_t LostAfterSends = 2 * TargetHealth::UnreachableInRow;
/// Homes follow where callers go; a second is as often as that is worth.
constexpr base::Duration HomesPace = std::chrono::seconds(1);
constexpr base::Duration LostAfter = std::chrono::seconds(1);

} // namespace

void TargetPool::setTargets(std::span<const TargetSpec> Targets,
                            base::TimePoint Now) {
  for (Entry &Each : Entries_)
    Each.Gone_ = true;
  for (const TargetSpec &Spec : Targets) {
    const auto Known = IndexOf_.find(Spec.Id_);
    const TargetIndex Index =
        Known == IndexOf_.end() ? addEntry(Spec, Now) : Known->second;
    Entry &Each = Entries_[Index];
    Each.Slots_ = std::max(1U, Spec.Slots_);
    Each.Leaving_ = Spec.Leaving_;
    Each.Gone_ = false;
  }
  refreshLists();
  refreshHomes();
}

TargetIndex TargetPool::addEntry(const TargetSpec &Spec, base::TimePoint Now) {
  // Indices stay what they are: a request in flight names its target by one.
  const auto Index = static_cast<TargetIndex>(Entries_.size());
  const bool FirstSet = Active_.empty();
  Entry &Fresh = Entries_.emplace_back();
  Fresh.Id_ = Spec.Id_;
  const std::uint64_t Hash =
      base::stableHash(Self_.name(), base::stableHash(Spec.Id_.name()));
  Fresh.Place_ = static_cast<double>(Hash >> 11) * 0x1.0p-53;
  // At the first set all are new to this host, and most likely warm.
  if (!FirstSet)
    Fresh.Health_.startSlowly(Now);
  IndexOf_.emplace(Spec.Id_, Index);
  return Index;
}

void TargetPool::setPeers(std::span<const base::HostId> Peers) {
  Members_.assign(Peers.begin(), Peers.end());
  std::erase(Members_, Self_);
  Peers_.setPeers(Members_);
  refreshHomes();
}

void TargetPool::refreshLists() {
  Active_.clear();
  for (TargetIndex Index = 0; Index < Entries_.size(); ++Index)
    if (!Entries_[Index].Gone_ && !Entries_[Index].Leaving_)
      Active_.push_back(Index);
}

void TargetPool::refreshHomes() {
  const double Hosts = static_cast<double>(Members_.size()) + 1;
  const double Mean = (OwnSmoothed_ + Peers_.smoothedTotal()) / Hosts;
  std::vector<HostWeight> Others;
  HostWeight Own{Self_, 1};
  // Before anything is known all are alike.
  static constexpr double LeastMean = 0.1;
  if (Mean < LeastMean) {
    for (const base::HostId &Each : Members_)
      Others.push_back({Each, 1});
  } else {
    Peers_.addWeights(Mean, Others);
    Own.Weight_ = std::max(0.25, OwnSmoothed_ / Mean);
  }
  Homes_.clear();
  for (const TargetIndex Index : Active_) {
    Entry &Each = Entries_[Index];
    Each.Home_ = homeSlots(Each.Id_, Each.Slots_, Own, Others);
    if (Each.Home_ > 0)
      Homes_.push_back(Index);
  }
}

void TargetPool::tick(base::TimePoint Now) {
  Peers_.tick(Now);
  OwnSmoothed_ = PeerLoads::smoothed(OwnSmoothed_, OwnTotal_, Now - TickedAt_);
  TickedAt_ = Now;
  if (Now - HomesAt_ >= HomesPace) {
    HomesAt_ = Now;
    refreshHomes();
  }
  Scratch_.clear();
  for (const TargetIndex Index : Active_)
    if (Entries_[Index].Health_.samples() >= TargetHealth::LeastSamples)
      Scratch_.push_back(Entries_[Index].Health_.latency());
  if (Scratch_.empty())
    return;
  const auto Middle =
      Scratch_.begin() + static_cast<std::ptrdiff_t>(Scratch_.size() / 2);
  std::nth_element(Scratch_.begin(), Middle, Scratch_.end());
  MedianLatency_ = *Middle;
}

void TargetPool::judge(TargetIndex Target, base::TimePoint Now) noexcept {
  TargetHealth &Health = Entries_[Target].Health_;
  const Sign Seen = Health.sign(MedianLatency_);
  if (Seen == Sign::None || Health.isEjected(Now))
    return;
  if (mayEject(Seen, Now))
    Health.eject(Now);
  else
    SuspectUntil_ = Now + SuspicionTime;
}

bool TargetPool::mayEject(Sign Seen, base::TimePoint Now) const noexcept {
  std::size_t Ejected = 1;
  for (const TargetIndex Index : Active_)
    if (Entries_[Index].Health_.isEjected(Now))
      ++Ejected;
  const double Part =
      Seen == Sign::Unreachable ? MostUnreachable : MostDoubtful;
  return static_cast<double>(Ejected) <=
         Part * static_cast<double>(Active_.size());
}

PoolState::Trust TargetPool::trust(base::TimePoint Now) const noexcept {
  if (UnreachableSinceAnswer_ >= LostAfterSends &&
      Now - LastAnswer_ >= LostAfter)
    return Trust::Lost;
  return Now < SuspectUntil_ ? Trust::Suspect : Trust::Sound;
}

PoolState TargetPool::state(base::TimePoint Now) const noexcept {
  PoolState Stands;
  Stands.Trust_ = trust(Now);
  if (Stands.Trust_ == Trust::Lost)
    return Stands;
  for (const TargetIndex Index : Active_) {
    const Entry &Each = Entries_[Index];
    if (Stands.Trust_ == Trust::Sound && Each.Health_.isEjected(Now))
      continue;
    ++Stands.Usable_;
    Stands.Slots_ += Each.Health_.usableSlots(Each.Slots_, Now);
    Stands.InFlight_ += load(Index, Now);
  }
  return Stands;
}

std::vector<InFlight> TargetPool::ownInFlight() const {
  std::vector<InFlight> Counts;
  for (TargetIndex Index = 0; Index < Entries_.size(); ++Index)
    if (Entries_[Index].Own_ > 0)
      Counts.push_back({Index, Entries_[Index].Own_});
  return Counts;
}

std::optional<TargetIndex>
TargetPool::indexOf(const base::TargetId &Target) const {
  const auto Known = IndexOf_.find(Target);
  if (Known == IndexOf_.end())
    return std::nullopt;
  return Known->second;
}

} // namespace lychee::placement
