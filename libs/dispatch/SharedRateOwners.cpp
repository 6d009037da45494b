#include "dispatch/SharedRateOwners.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::dispatch {

void SharedRateOwners::update(const FleetDemand &Fleet, base::TimePoint Now) {
  const bool WasPaused = Now - UpdatedAt_ > MaxUpdateAge;
  // Where no host reaches targets these are down, and elections stay as they
  // are.
  const bool AnyReaches =
      !Fleet.TargetsUnreached_ ||
      std::any_of(Fleet.OtherHosts_.begin(), Fleet.OtherHosts_.end(),
                  [](const members::HostView &Other) {
                    return Other.Alive_ && !Other.TargetsUnreached_;
                  });
  const bool Serves =
      Fleet.IsServing_ && !(AnyReaches && Fleet.TargetsUnreached_);
  if (Serves && (!IsServing_ || WasPaused))
    ServingSince_ = Now;
  IsServing_ = Serves;
  UpdatedAt_ = Now;
  if (Fleet.IsCutOff_)
    return;
  Candidates_.clear();
  if (IsServing_)
    Candidates_.push_back({Fleet.Self_.Host_, Fleet.Self_.Region_, {}});
  for (const members::HostView &Other : Fleet.OtherHosts_)
    if (Other.Alive_ && Other.Ready_ && !Other.Leaving_ &&
        !(AnyReaches && Other.TargetsUnreached_))
      Candidates_.push_back({Other.Descriptor_.Host_, Other.Descriptor_.Region_,
                             Other.Descriptor_.Address_});
}

bool SharedRateOwners::maySelfOwn(base::TimePoint Now) const noexcept {
  return IsServing_ && Now - ServingSince_ >= TakeoverDelay &&
         Now - UpdatedAt_ <= MaxUpdateAge;
}

RateOwner SharedRateOwners::ownerOf(std::uint64_t Target,
                                    const base::RegionId &Region,
                                    base::TimePoint Now) const {
  const Candidate *Elected = nullptr;
  std::pair<bool, std::uint64_t> Highest;
  for (const Candidate &Each : Candidates_) {
    const std::pair Rank(Each.Region_ == Region,
                         base::stableHash(Each.Host_.name(), Target));
    if (Elected != nullptr && Rank <= Highest)
      continue;
    Elected = &Each;
    Highest = Rank;
  }
  if (Elected == nullptr)
    return {};
  if (!Elected->Address_.empty())
    return {RateOwner::Kind::Other, Elected->Address_};
  return {maySelfOwn(Now) ? RateOwner::Kind::Self : RateOwner::Kind::None, {}};
}

} // namespace lychee::dispatch
