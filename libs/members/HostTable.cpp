#include "members/HostTable.h"

#include "base/Hash.h"

#include <algorithm>

namespace lychee::members {

void HostTable::merge(const Heartbeat &Message, Heartbeat &Stored) {
  Heartbeat Next = Message;
  const bool SameIncarnation =
      Stored.Sender_.Incarnation_ == Message.Sender_.Incarnation_;
  if (!Message.HasDescriptor_)
    Next.Sender_ = Stored.Sender_;
  if (!Message.IsFull_ && SameIncarnation) {
    Next.Demands_ = std::move(Stored.Demands_);
    for (const CustomerDemand &Changed : Message.Demands_) {
      std::erase_if(Next.Demands_, [&Changed](const CustomerDemand &Entry) {
        return Entry.Customer_ == Changed.Customer_;
      });
      Next.Demands_.push_back(Changed);
    }
  }
  // Not every heartbeat carries the live peers.
  if (Next.LivePeers_.empty() && SameIncarnation)
    Next.LivePeers_ = std::move(Stored.LivePeers_);
  Stored = std::move(Next);
}

bool HostTable::receive(const Heartbeat &Message, base::TimePoint Now) {
  if (Message.Sender_.Host_ == Self_.Host_)
    return false;
  const std::lock_guard Guard(Lock_);
  // A descriptor of an earlier incarnation says nothing about where the host is
  // now.
  const auto Known = Peers_.find(Message.Sender_.Host_);
  if (!Message.HasDescriptor_ &&
      (Known == Peers_.end() || Known->second.Last_.Sender_.Incarnation_ !=
                                    Message.Sender_.Incarnation_))
    return false;
  const auto [Found, New] = Peers_.try_emplace(Message.Sender_.Host_);
  Peer &Stored = Found->second;
  const Heartbeat &Last = Stored.Last_;
  // Datagrams may be reordered, and one of an earlier incarnation may arrive
  // late. After silence any heartbeat is accepted, because the host's clock may
  // have gone back.
  if (!New && isAlive(Stored, Now) &&
      (Message.Sender_.Incarnation_ < Last.Sender_.Incarnation_ ||
       (Message.Sender_.Incarnation_ == Last.Sender_.Incarnation_ &&
        Message.Sequence_ <= Last.Sequence_)))
    return false;
  const bool Changed = New || !isAlive(Stored, Now) ||
                       Last.Ready_ != Message.Ready_ ||
                       Last.Leaving_ != Message.Leaving_ ||
                       Last.TargetsUnreached_ != Message.TargetsUnreached_;
  merge(Message, Stored.Last_);
  Stored.ReceivedAt_ = Now;
  return Changed;
}

void HostTable::setListed(std::span<const ListedHost> Hosts) {
  const std::lock_guard Guard(Lock_);
  Listed_.clear();
  for (const ListedHost &Entry : Hosts)
    Listed_[Entry.Address_] = Entry.Region_;
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
  for (const auto &[Host, Entry] : Peers_) {
    if (Now - Entry.ReceivedAt_ < RetentionTime)
      All.insert(Entry.Last_.Sender_.Address_);
    // Live peers of a live host are alive, too, whatever the store says.
    if (isAlive(Entry, Now))
      All.insert(Entry.Last_.LivePeers_.begin(), Entry.Last_.LivePeers_.end());
  }
  All.erase(Self_.Address_);
  for (const auto &[Address, Region] : Listed_)
    if (!Region.empty() && Region != Self_.Region_)
      All.erase(Address);
  for (const RemoteHost &Entry : Regions_.hosts(ReservedFor, Now))
    if (Entry.Alive_)
      All.erase(Entry.Status_.Descriptor_.Address_);
  return {All.begin(), All.end()};
}

std::vector<HostView> HostTable::others(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<HostView> All;
  for (const auto &[Host, Entry] : Peers_)
    if (isInOwnRegion(Entry) && Now - Entry.ReceivedAt_ < RetentionTime)
      All.push_back(
          {Entry.Last_.Sender_, Entry.Last_.Ready_, Entry.Last_.Leaving_,
           isAlive(Entry, Now), Now - Entry.ReceivedAt_ < ReservedFor,
           Entry.Last_.StoreTrouble_, Entry.Last_.Demands_, Entry.Last_.Loads_,
           Entry.Last_.TargetsUnreached_, Entry.Last_.Pressures_});
  for (RemoteHost &Entry : Regions_.hosts(ReservedFor, Now))
    All.push_back({std::move(Entry.Status_.Descriptor_),
                   Entry.Status_.Ready_,
                   Entry.Status_.Leaving_,
                   Entry.Alive_,
                   Entry.HoldsShare_,
                   false,
                   {},
                   {},
                   Entry.Status_.TargetsUnreached_,
                   {}});
  return All;
}

bool HostTable::isAlive(const Peer &Entry, base::TimePoint Now) noexcept {
  return Now - Entry.ReceivedAt_ < AliveFor;
}

bool HostTable::isCutOff(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Recent = 0;
  std::size_t Alive = 0;
  for (const auto &[Host, Entry] : Peers_) {
    if (!isInOwnRegion(Entry))
      continue;
    Recent += Now - Entry.ReceivedAt_ < ReservedFor ? 1 : 0;
    Alive += isAlive(Entry, Now) ? 1 : 0;
  }
  for (const RemoteHost &Entry : Regions_.hosts(ReservedFor, Now)) {
    Recent += Entry.HoldsShare_ ? 1 : 0;
    Alive += Entry.Alive_ ? 1 : 0;
  }
  return Recent > 0 && Alive * 2 < Recent;
}

std::size_t HostTable::shareHolders(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Holders = 1;
  for (const auto &[Host, Entry] : Peers_)
    Holders +=
        isInOwnRegion(Entry) && Now - Entry.ReceivedAt_ < ReservedFor ? 1 : 0;
  for (const RemoteHost &Entry : Regions_.hosts(ReservedFor, Now))
    Holders += Entry.HoldsShare_ ? 1 : 0;
  return Holders;
}

// Representing the region.

bool HostTable::receiveUpdate(const RegionUpdate &Message,
                              base::TimePoint Now) {
  if (Message.Region_ == Self_.Region_)
    return false;
  const std::lock_guard Guard(Lock_);
  return Regions_.receive(Message, Now);
}

std::vector<std::string>
HostTable::electRepresentatives(std::vector<Candidate> Candidates) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Hash_ > Right.Hash_;
            });
  Candidates.resize(std::min(Candidates.size(), RepresentativeCount));
  std::vector<std::string> Addresses;
  Addresses.reserve(Candidates.size());
  for (Candidate &Entry : Candidates)
    Addresses.push_back(std::move(Entry.Address_));
  return Addresses;
}

std::vector<std::string>
HostTable::ownRepresentatives(bool LocalLeaving, base::TimePoint Now) const {
  std::vector<Candidate> All;
  if (!LocalLeaving)
    All.push_back({representativeRank(Self_.Host_), Self_.Address_});
  for (const auto &[Host, Entry] : Peers_)
    if (isInOwnRegion(Entry) && isAlive(Entry, Now) && !Entry.Last_.Leaving_)
      All.push_back({representativeRank(Host), Entry.Last_.Sender_.Address_});
  return electRepresentatives(std::move(All));
}

bool HostTable::isRepresentative(bool LocalLeaving, base::Duration LocalAge,
                                 base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  const bool SeesSettledHost =
      std::any_of(Peers_.begin(), Peers_.end(), [&](const auto &Entry) {
        return isInOwnRegion(Entry.second) && isAlive(Entry.second, Now) &&
               Entry.second.Last_.Sequence_ >= SettledHeartbeats;
      });
  if (LocalAge < (SeesSettledHost ? SettlingTime : DiscoveryTime))
    return false;
  const std::vector<std::string> All = ownRepresentatives(LocalLeaving, Now);
  return std::find(All.begin(), All.end(), Self_.Address_) != All.end();
}

std::vector<std::string>
HostTable::forwardRecipients(const std::string &Sender, bool LocalLeaving,
                             base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<std::string> Representatives =
      ownRepresentatives(LocalLeaving, Now);
  std::set<std::string> Others;
  for (const auto &[Host, Entry] : Peers_)
    if (isInOwnRegion(Entry) && isAlive(Entry, Now))
      Others.insert(Entry.Last_.Sender_.Address_);
  if (std::erase(Representatives, Self_.Address_) == 0)
    return Others.contains(Sender) ? std::vector<std::string>()
                                   : Representatives;
  // The other representatives receive the update directly, too, and forward it
  // themselves.
  for (const std::string &Entry : Representatives)
    Others.erase(Entry);
  return {Others.begin(), Others.end()};
}

std::vector<std::string>
HostTable::remoteRepresentatives(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::map<base::RegionId, std::vector<Candidate>> Regions;
  for (const RemoteHost &Entry : Regions_.hosts(ReservedFor, Now))
    if (Entry.Alive_ && !Entry.Status_.Leaving_)
      Regions[Entry.Status_.Descriptor_.Region_].push_back(
          {representativeRank(Entry.Status_.Descriptor_.Host_),
           Entry.Status_.Descriptor_.Address_});
  std::set<std::string> All;
  for (auto &[Region, Candidates] : Regions)
    for (std::string &Address : electRepresentatives(std::move(Candidates)))
      All.insert(std::move(Address));
  // In a region that is silent some listed host may still be alive; the hosts
  // that are tried change with time.
  std::map<base::RegionId, std::vector<Candidate>> Silent;
  const auto Period = static_cast<std::uint64_t>(
      base::toMilliseconds(Now.time_since_epoch()) / 500);
  for (const auto &[Address, Region] : Listed_)
    if (!Region.empty() && Region != Self_.Region_ && !Regions.contains(Region))
      Silent[Region].push_back({base::stableHash(Address, Period), Address});
  for (auto &[Region, Candidates] : Silent)
    for (std::string &Address : electRepresentatives(std::move(Candidates)))
      All.insert(std::move(Address));
  // Hosts that the store does not list are only known by their heartbeats.
  for (const auto &[Host, Entry] : Peers_)
    if (!isInOwnRegion(Entry) && Now - Entry.ReceivedAt_ < RetentionTime &&
        !Regions.contains(Entry.Last_.Sender_.Region_))
      All.insert(Entry.Last_.Sender_.Address_);
  return {All.begin(), All.end()};
}

RegionSummary HostTable::summary(const LocalHostSummary &Local,
                                 base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  RegionSummary Result;
  std::map<base::CustomerId, double> Demands;
  std::map<std::pair<base::ServiceId, base::RegionId>, double> Loads;
  const auto Add = [&Demands](std::span<const CustomerDemand> All) {
    for (const CustomerDemand &Entry : All)
      Demands[Entry.Customer_] += Entry.RequestsPerSecond_;
  };
  const auto AddLoads = [&Loads](std::span<const ServiceDemand> All) {
    for (const ServiceDemand &Entry : All)
      Loads[{Entry.Service_, Entry.BoundTo_}] += Entry.Slots_;
  };
  Result.Hosts_.push_back(
      {Self_, Local.Ready_, Local.Leaving_, false, Local.TargetsUnreached_});
  Add(Local.Demands_);
  AddLoads(Local.Loads_);
  for (const auto &[Host, Entry] : Peers_) {
    if (!isInOwnRegion(Entry) || Now - Entry.ReceivedAt_ >= RetentionTime)
      continue;
    const bool Alive = isAlive(Entry, Now);
    Result.Hosts_.push_back({Entry.Last_.Sender_, Entry.Last_.Ready_,
                             Entry.Last_.Leaving_, !Alive,
                             Entry.Last_.TargetsUnreached_});
    if (Now - Entry.ReceivedAt_ < ReservedFor)
      Add(Entry.Last_.Demands_);
    if (Alive)
      AddLoads(Entry.Last_.Loads_);
  }
  for (const auto &[Customer, PerSecond] : Demands)
    Result.Demands_.push_back({Customer, PerSecond});
  for (const auto &[Key, Slots] : Loads)
    Result.Loads_.push_back({Key.first, Slots, Key.second});
  Result.Evidence_ = Local.Evidence_;
  Result.TargetRates_ = Local.TargetRates_;
  Result.TargetLeavings_ = Local.TargetLeavings_;
  return Result;
}

std::vector<RegionView> HostTable::regions(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Regions_.regions(ReservedFor, Now);
}

} // namespace lychee::members
