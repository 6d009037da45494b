#include "dispatch/ForwardingHosts.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::dispatch {

void ForwardingHosts::update(const FleetDemand &Fleet, base::TimePoint Now) {
  std::erase_if(PausedUntil_,
                [Now](const auto &Entry) { return Now >= Entry.second; });
  Region_ = Fleet.Self_.Region_;
  const std::uint64_t Seed = base::stableHash(Fleet.Self_.Host_.name());
  std::map<base::RegionId,
           std::vector<std::pair<std::uint64_t, const members::HostView *>>>
      Regions;
  for (const members::HostView &Other : Fleet.OtherHosts_)
    if (Other.Alive_ && Other.Ready_ && !Other.Leaving_ &&
        !Other.TargetsUnreached_)
      Regions[Other.Descriptor_.Region_].emplace_back(
          base::stableHash(Other.Descriptor_.Host_.name(), Seed), &Other);
  Hosts_.clear();
  for (auto &[Region, Candidates] : Regions) {
    const std::size_t Count = std::min(Candidates.size(), MaxHostsPerRegion);
    std::partial_sort(Candidates.begin(),
                      Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                      Candidates.end(),
                      [](const auto &Left, const auto &Right) {
                        return Left.first > Right.first;
                      });
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts_.push_back(Candidates[Index].second->Descriptor_);
  }
}

std::optional<members::HostDescriptor>
ForwardingHosts::choose(const std::vector<base::RegionId> *Homes,
                        std::span<const base::HostId> Tried,
                        base::Random &Random, base::TimePoint Now) const {
  const auto Contains = [](const auto &All, const auto &Wanted) {
    return std::find(All.begin(), All.end(), Wanted) != All.end();
  };
  std::vector<const members::HostDescriptor *> Near;
  std::vector<const members::HostDescriptor *> Far;
  for (const members::HostDescriptor &Host : Hosts_)
    if (!isPaused(Host.Host_, Now) && !Contains(Tried, Host.Host_) &&
        (Homes == nullptr || Contains(*Homes, Host.Region_)))
      (Host.Region_ == Region_ ? Near : Far).push_back(&Host);
  const auto &Candidates = Near.empty() ? Far : Near;
  if (Candidates.empty())
    return std::nullopt;
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  const auto *First = Candidates[base::drawBelow(Random, Count)];
  const auto *Second = Candidates[base::drawBelow(Random, Count)];
  return inFlight(Second->Host_) < inFlight(First->Host_) ? *Second : *First;
}

void ForwardingHosts::recordEnd(const base::HostId &Host) {
  const auto Found = InFlight_.find(Host);
  if (Found != InFlight_.end() && --Found->second == 0)
    InFlight_.erase(Found);
}

bool ForwardingHosts::isPaused(const base::HostId &Host,
                               base::TimePoint Now) const {
  const auto Found = PausedUntil_.find(Host);
  return Found != PausedUntil_.end() && Now < Found->second;
}

std::size_t ForwardingHosts::inFlight(const base::HostId &Host) const {
  const auto Found = InFlight_.find(Host);
  return Found == InFlight_.end() ? 0 : Found->second;
}

} // namespace lychee::dispatch
