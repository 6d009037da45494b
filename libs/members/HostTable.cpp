#include "members/HostTable.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::members {

void HostTable::take(const Heartbeat &Said, Heartbeat &Into) {
  Heartbeat Next = Said;
  const bool SameStart = Into.Sender_.Incarnation_ == Said.Sender_.Incarnation_;
  if (!Said.HasDescriptor_)
    Next.Sender_ = Into.Sender_;
  if (!Said.IsFull_ && SameStart) {
    Next.Demands_ = std::move(Into.Demands_);
    for (const CustomerDemand &Told : Said.Demands_) {
      std::erase_if(Next.Demands_, [&Told](const CustomerDemand &Each) {
        return Each.Customer_ == Told.Customer_;
      });
      Next.Demands_.push_back(Told);
    }
  }
  // Not every heartbeat names the hosts that are heard.
  if (Next.LivePeers_.empty() && SameStart)
    Next.LivePeers_ = std::move(Into.LivePeers_);
  Into = std::move(Next);
}

bool HostTable::receive(const Heartbeat &Said, base::TimePoint Now) {
  if (Said.Sender_.Host_ == Self_.Host_)
    return false;
  const std::lock_guard Guard(Lock_);
  // Where it is does not follow from what was told by an earlier start.
  const auto Before = Known_.find(Said.Sender_.Host_);
  if (!Said.HasDescriptor_ &&
      (Before == Known_.end() ||
       Before->second.Last_.Sender_.Incarnation_ != Said.Sender_.Incarnation_))
    return false;
  const auto [Found, New] = Known_.try_emplace(Said.Sender_.Host_);
  Known &Stored = Found->second;
  const Heartbeat &Last = Stored.Last_;
  // Datagrams overtake each other, and one of an earlier start may come late.
  // After silence anything counts: the host's time of day may have gone back.
  if (!New && isAlive(Stored, Now) &&
      (Said.Sender_.Incarnation_ < Last.Sender_.Incarnation_ ||
       (Said.Sender_.Incarnation_ == Last.Sender_.Incarnation_ &&
        Said.Sequence_ <= Last.Sequence_)))
    return false;
  const bool Told = New || !isAlive(Stored, Now) ||
                    Last.Ready_ != Said.Ready_ ||
                    Last.Leaving_ != Said.Leaving_;
  take(Said, Stored.Last_);
  Stored.HeardAt_ = Now;
  return Told;
}

void HostTable::setListed(std::span<const ListedHost> Hosts) {
  const std::lock_guard Guard(Lock_);
  Listed_.clear();
  for (const ListedHost &Each : Hosts)
    Listed_[Each.Address_] = Each.Region_;
}

void HostTable::addSeeds(std::span<const std::string> Addresses) {
  const std::lock_guard Guard(Lock_);
  Seeds_.insert(Addresses.begin(), Addresses.end());
}

std::vector<std::string> HostTable::recipients(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::set<std::string> All = Seeds_;
  for (const auto &[Address, Region] : Listed_)
    if (Region.empty() || Region == Self_.Region_)
      All.insert(Address);
  for (const auto &[Host, Each] : Known_) {
    if (Now - Each.HeardAt_ < RememberedFor)
      All.insert(Each.Last_.Sender_.Address_);
    // Hosts that live ones hear are live, too, whatever the store says.
    if (isAlive(Each, Now))
      All.insert(Each.Last_.LivePeers_.begin(), Each.Last_.LivePeers_.end());
  }
  All.erase(Self_.Address_);
  for (const auto &[Address, Region] : Listed_)
    if (!Region.empty() && Region != Self_.Region_)
      All.erase(Address);
  for (const FarHost &Each : Regions_.hosts(ReservedFor, Now))
    if (Each.Alive_)
      All.erase(Each.Line_.Card_.Address_);
  return {All.begin(), All.end()};
}

std::vector<HostView> HostTable::others(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<HostView> All;
  for (const auto &[Host, Each] : Known_)
    if (isNear(Each) && Now - Each.HeardAt_ < RememberedFor)
      All.push_back({Each.Last_.Sender_, Each.Last_.Ready_, Each.Last_.Leaving_,
                     isAlive(Each, Now), Now - Each.HeardAt_ < ReservedFor,
                     Each.Last_.StoreTrouble_, Each.Last_.Demands_,
                     Each.Last_.Loads_});
  for (FarHost &Each : Regions_.hosts(ReservedFor, Now))
    All.push_back({std::move(Each.Line_.Card_),
                   Each.Line_.Ready_,
                   Each.Line_.Leaving_,
                   Each.Alive_,
                   Each.HoldsShare_,
                   false,
                   {},
                   {}});
  return All;
}

bool HostTable::isAlive(const Known &Each, base::TimePoint Now) noexcept {
  return Now - Each.HeardAt_ < AliveFor;
}

bool HostTable::isCutOff(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Lately = 0;
  std::size_t Alive = 0;
  for (const auto &[Host, Each] : Known_) {
    if (!isNear(Each))
      continue;
    Lately += Now - Each.HeardAt_ < ReservedFor ? 1 : 0;
    Alive += isAlive(Each, Now) ? 1 : 0;
  }
  for (const FarHost &Each : Regions_.hosts(ReservedFor, Now)) {
    Lately += Each.HoldsShare_ ? 1 : 0;
    Alive += Each.Alive_ ? 1 : 0;
  }
  return Lately > 0 && Alive * 2 < Lately;
}

std::size_t HostTable::shareHolders(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Holders = 1;
  for (const auto &[Host, Each] : Known_)
    Holders += isNear(Each) && Now - Each.HeardAt_ < ReservedFor ? 1 : 0;
  for (const FarHost &Each : Regions_.hosts(ReservedFor, Now))
    Holders += Each.HoldsShare_ ? 1 : 0;
  return Holders;
}

bool HostTable::isElectedFor(std::uint64_t Matter, base::TimePoint Now) const {
  const std::uint64_t Own = base::stableHash(Self_.Host_.name(), Matter);
  const std::vector<HostView> All = others(Now);
  return std::none_of(All.begin(), All.end(), [&](const HostView &Each) {
    return Each.Alive_ && Each.Ready_ && !Each.Leaving_ &&
           base::stableHash(Each.Descriptor_.Host_.name(), Matter) > Own;
  });
}

// Speaking for the region.

bool HostTable::heardNews(const RegionUpdate &Said, base::TimePoint Now) {
  if (Said.Region_ == Self_.Region_)
    return false;
  const std::lock_guard Guard(Lock_);
  return Regions_.heard(Said, Now);
}

std::vector<std::string> HostTable::firstOf(std::vector<Candidate> All) {
  std::sort(All.begin(), All.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Hash_ > Right.Hash_;
            });
  All.resize(std::min(All.size(), SpeakerCount));
  std::vector<std::string> Addresses;
  Addresses.reserve(All.size());
  for (Candidate &Each : All)
    Addresses.push_back(std::move(Each.Address_));
  return Addresses;
}

std::vector<std::string> HostTable::ownSpeakers(bool OwnLeaving,
                                                base::TimePoint Now) const {
  std::vector<Candidate> All;
  if (!OwnLeaving)
    All.push_back({speakerRank(Self_.Host_), Self_.Address_});
  for (const auto &[Host, Each] : Known_)
    if (isNear(Each) && isAlive(Each, Now) && !Each.Last_.Leaving_)
      All.push_back({speakerRank(Host), Each.Last_.Sender_.Address_});
  return firstOf(std::move(All));
}

bool HostTable::isSpeaker(bool OwnLeaving, base::Duration OwnAge,
                          base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  const bool HearsSettled =
      std::any_of(Known_.begin(), Known_.end(), [&](const auto &Each) {
        return isNear(Each.second) && isAlive(Each.second, Now) &&
               Each.second.Last_.Sequence_ >= SettledBeats;
      });
  if (OwnAge < (HearsSettled ? Settling : FirstHearing))
    return false;
  const std::vector<std::string> All = ownSpeakers(OwnLeaving, Now);
  return std::find(All.begin(), All.end(), Self_.Address_) != All.end();
}

std::vector<std::string> HostTable::passOnTo(const std::string &Sender,
                                             bool OwnLeaving,
                                             base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<std::string> Speakers = ownSpeakers(OwnLeaving, Now);
  std::set<std::string> Others;
  for (const auto &[Host, Each] : Known_)
    if (isNear(Each) && isAlive(Each, Now))
      Others.insert(Each.Last_.Sender_.Address_);
  if (std::erase(Speakers, Self_.Address_) == 0)
    return Others.contains(Sender) ? std::vector<std::string>() : Speakers;
  // The other speakers are told directly, too, and pass it on themselves.
  for (const std::string &Each : Speakers)
    Others.erase(Each);
  return {Others.begin(), Others.end()};
}

std::vector<std::string> HostTable::farSpeakers(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::map<base::RegionId, std::vector<Candidate>> Regions;
  for (const FarHost &Each : Regions_.hosts(ReservedFor, Now))
    if (Each.Alive_ && !Each.Line_.Leaving_)
      Regions[Each.Line_.Card_.Region_].push_back(
          {speakerRank(Each.Line_.Card_.Host_), Each.Line_.Card_.Address_});
  std::set<std::string> All;
  for (auto &[Region, Candidates] : Regions)
    for (std::string &Address : firstOf(std::move(Candidates)))
      All.insert(std::move(Address));
  // Of a region that is silent some listed host may be alive; which, changes
  // with the time.
  std::map<base::RegionId, std::vector<Candidate>> Silent;
  const auto Turn = static_cast<std::uint64_t>(
      base::toMilliseconds(Now.time_since_epoch()) / 500);
  for (const auto &[Address, Region] : Listed_)
    if (!Region.empty() && Region != Self_.Region_ && !Regions.contains(Region))
      Silent[Region].push_back({base::stableHash(Address, Turn), Address});
  for (auto &[Region, Candidates] : Silent)
    for (std::string &Address : firstOf(std::move(Candidates)))
      All.insert(std::move(Address));
  // Hosts that the store does not list are known by their heartbeats alone.
  for (const auto &[Host, Each] : Known_)
    if (!isNear(Each) && Now - Each.HeardAt_ < RememberedFor &&
        !Regions.contains(Each.Last_.Sender_.Region_))
      All.insert(Each.Last_.Sender_.Address_);
  return {All.begin(), All.end()};
}

RegionSummary HostTable::summary(const LocalHostSummary &Own,
                                 base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  RegionSummary Made;
  std::map<base::CustomerId, double> Demands;
  std::map<std::pair<base::ServiceId, base::RegionId>, double> Loads;
  const auto Add = [&Demands](std::span<const CustomerDemand> All) {
    for (const CustomerDemand &Each : All)
      Demands[Each.Customer_] += Each.RequestsPerSecond_;
  };
  const auto AddLoads = [&Loads](std::span<const ServiceDemand> All) {
    for (const ServiceDemand &Each : All)
      Loads[{Each.Service_, Each.BoundTo_}] += Each.Slots_;
  };
  Made.Hosts_.push_back({Self_, Own.Ready_, Own.Leaving_, false});
  Add(Own.Demands_);
  AddLoads(Own.Loads_);
  for (const auto &[Host, Each] : Known_) {
    if (!isNear(Each) || Now - Each.HeardAt_ >= RememberedFor)
      continue;
    const bool Alive = isAlive(Each, Now);
    Made.Hosts_.push_back(
        {Each.Last_.Sender_, Each.Last_.Ready_, Each.Last_.Leaving_, !Alive});
    if (Now - Each.HeardAt_ < ReservedFor)
      Add(Each.Last_.Demands_);
    if (Alive)
      AddLoads(Each.Last_.Loads_);
  }
  for (const auto &[Customer, PerSecond] : Demands)
    Made.Demands_.push_back({Customer, PerSecond});
  for (const auto &[Key, Slots] : Loads)
    Made.Loads_.push_back({Key.first, Slots, Key.second});
  Made.Evidence_ = Own.Evidence_;
  return Made;
}

std::vector<RegionView> HostTable::regions(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Regions_.regions(ReservedFor, Now);
}

} // namespace lychee::members
