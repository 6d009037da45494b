// The parts of TargetPool off the request path: declared targets, peers, health
// and medians.
#include "base/Hash.h"
#include "placement/HomeSlots.h"
#include "placement/TargetPool.h"

#include <algorithm>

namespace lychee::placement {

namespace {

using Trust = PoolState::Trust;
using Symptom = TargetHealth::Symptom;

/// Maximum share of the pool that may be ejected for slow or faulty responses.
/// Above it, one common cause is more likely than as many separate ones.
constexpr double MaxDoubtfulShare = 0.3;
/// The same for unreachable targets. Losing an availability zone takes half of
/// a region's targets, and sending there certainly fails.
constexpr double MaxUnreachableShare = 0.67;
/// Time for which a doubted measurement stays doubted.
constexpr base::Duration SuspectTime = std::chrono::seconds(5);
/// Consecutive unreachable sends, and the time since the last answer, after
/// which a pool is lost. As many sends as eject two targets.
constexpr std::uint32_t LostAfterSends = 2 * TargetHealth::UnreachableThreshold;
/// Interval between updates of the home slots, which follow where callers send;
/// more often than once a second is not worth the cost.
constexpr base::Duration HomeRefreshInterval = std::chrono::seconds(1);
constexpr base::Duration LostAfterTime = std::chrono::seconds(1);

} // namespace

void TargetPool::setTargets(std::span<const TargetSpec> Targets,
                            base::TimePoint Now) {
  for (TargetState &State : Targets_)
    State.Removed_ = true;
  for (const TargetSpec &Spec : Targets) {
    const auto Known = IndexOf_.find(Spec.Id_);
    const TargetIndex Index =
        Known == IndexOf_.end() ? addTarget(Spec, Now) : Known->second;
    TargetState &State = Targets_[Index];
    State.Slots_ = std::max(1U, Spec.Slots_);
    State.Leaving_ = Spec.Leaving_;
    State.Removed_ = false;
  }
  refreshActive();
  refreshHomeSlots();
}

TargetIndex TargetPool::addTarget(const TargetSpec &Spec, base::TimePoint Now) {
  // An index is never reused: a request in flight refers to its target by
  // index.
  const auto Index = static_cast<TargetIndex>(Targets_.size());
  const bool IsFirstSet = Active_.empty();
  TargetState &State = Targets_.emplace_back();
  State.Id_ = Spec.Id_;
  const std::uint64_t Hash =
      base::stableHash(Self_.name(), base::stableHash(Spec.Id_.name()));
  State.SlowStartRank_ = static_cast<double>(Hash >> 11) * 0x1.0p-53;
  // At the first call all targets are new to this host, and most likely have
  // warm caches.
  if (!IsFirstSet)
    State.Health_.beginSlowStart(Now);
  IndexOf_.emplace(Spec.Id_, Index);
  return Index;
}

void TargetPool::setPeers(std::span<const base::HostId> Peers) {
  Members_.assign(Peers.begin(), Peers.end());
  std::erase(Members_, Self_);
  Peers_.setPeers(Members_);
  refreshHomeSlots();
}

void TargetPool::refreshActive() {
  Active_.clear();
  for (TargetIndex Index = 0; Index < Targets_.size(); ++Index)
    if (!Targets_[Index].Removed_ && !Targets_[Index].Leaving_)
      Active_.push_back(Index);
}

void TargetPool::refreshHomeSlots() {
  const double Hosts = static_cast<double>(Members_.size()) + 1;
  const double Mean = (OwnSmoothed_ + Peers_.smoothedTotal()) / Hosts;
  std::vector<HostWeight> Others;
  HostWeight Own{Self_, 1};
  // Without measurements all hosts have equal weights.
  static constexpr double MinMean = 0.1;
  if (Mean < MinMean) {
    for (const base::HostId &Host : Members_)
      Others.push_back({Host, 1});
  } else {
    Peers_.addWeights(Mean, Others);
    Own.Weight_ = std::max(0.25, OwnSmoothed_ / Mean);
  }
  HomeTargets_.clear();
  for (const TargetIndex Index : Active_) {
    TargetState &State = Targets_[Index];
    State.HomeSlots_ = homeSlots(State.Id_, State.Slots_, Own, Others);
    if (State.HomeSlots_ > 0)
      HomeTargets_.push_back(Index);
  }
}

void TargetPool::tick(base::TimePoint Now) {
  Peers_.tick(Now);
  OwnSmoothed_ =
      PeerLoads::smoothed(OwnSmoothed_, OwnInFlightTotal_, Now - LastTick_);
  LastTick_ = Now;
  if (Now - LastHomeRefresh_ >= HomeRefreshInterval) {
    LastHomeRefresh_ = Now;
    refreshHomeSlots();
  }
  Latencies_.clear();
  for (const TargetIndex Index : Active_)
    if (Targets_[Index].Health_.samples() >= TargetHealth::MinSamples)
      Latencies_.push_back(Targets_[Index].Health_.latency());
  if (Latencies_.empty())
    return;
  const auto Middle =
      Latencies_.begin() + static_cast<std::ptrdiff_t>(Latencies_.size() / 2);
  std::nth_element(Latencies_.begin(), Middle, Latencies_.end());
  MedianLatency_ = *Middle;
}

void TargetPool::updateEjection(TargetIndex Target,
                                base::TimePoint Now) noexcept {
  TargetHealth &Health = Targets_[Target].Health_;
  const Symptom Found = Health.symptom(MedianLatency_);
  if (Found == Symptom::None || Health.isEjected(Now))
    return;
  if (mayEject(Found, Now))
    Health.eject(Now);
  else
    SuspectUntil_ = Now + SuspectTime;
}

bool TargetPool::mayEject(Symptom Found, base::TimePoint Now) const noexcept {
  std::size_t Ejected = 1;
  for (const TargetIndex Index : Active_)
    if (Targets_[Index].Health_.isEjected(Now))
      ++Ejected;
  const double MaxShare =
      Found == Symptom::Unreachable ? MaxUnreachableShare : MaxDoubtfulShare;
  return static_cast<double>(Ejected) <=
         MaxShare * static_cast<double>(Active_.size());
}

PoolState::Trust TargetPool::trust(base::TimePoint Now) const noexcept {
  if (UnreachableSinceAnswer_ >= LostAfterSends &&
      Now - LastAnswer_ >= LostAfterTime)
    return Trust::Lost;
  return Now < SuspectUntil_ ? Trust::Suspect : Trust::Trusted;
}

PoolState TargetPool::state(base::TimePoint Now) const noexcept {
  PoolState Result;
  Result.Trust_ = trust(Now);
  if (Result.Trust_ == Trust::Lost)
    return Result;
  for (const TargetIndex Index : Active_) {
    const TargetState &State = Targets_[Index];
    if (isResting(Index, Now) ||
        (Result.Trust_ == Trust::Trusted && State.Health_.isEjected(Now)))
      continue;
    ++Result.UsableTargets_;
    Result.Slots_ += State.Health_.usableSlots(State.Slots_, Now);
    Result.InFlight_ += load(Index, Now);
  }
  return Result;
}

std::optional<base::Duration>
TargetPool::firstRestEnd(base::TimePoint Now) const {
  std::optional<base::Duration> First;
  for (const TargetIndex Index : Active_) {
    const base::Duration Left = Targets_[Index].RestUntil_ - Now;
    if (Left <= base::Duration::zero())
      return std::nullopt;
    First = std::min(First.value_or(Left), Left);
  }
  return First;
}

std::vector<InFlight> TargetPool::ownInFlight() const {
  std::vector<InFlight> Counts;
  for (TargetIndex Index = 0; Index < Targets_.size(); ++Index)
    if (Targets_[Index].OwnInFlight_ > 0)
      Counts.push_back({Index, Targets_[Index].OwnInFlight_});
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
