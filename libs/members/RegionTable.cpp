#include "members/RegionTable.h"

#include "base/Hash.h"

namespace lychee::members {

std::uint64_t representativeRank(const base::HostId &Host) noexcept {
  // The seed gives an order that differs from those of other elections.
  constexpr std::uint64_t Seed = 0x7370656b;
  return base::stableHash(Host.name(), Seed);
}

bool RegionTable::accepts(const Region &Stored, const RegionUpdate &Update,
                          base::TimePoint Now) {
  if (Now - Stored.ReceivedAt_ >= RepresentativeTimeout)
    return true;
  // A host that has just started considers itself a representative until it
  // receives heartbeats of those that rank before it.
  if (Stored.Representative_ != Update.Representative_)
    return representativeRank(Update.Representative_) >
           representativeRank(Stored.Representative_);
  // Datagrams arrive twice, forwarded by both representatives, and possibly
  // late.
  if (Stored.Incarnation_ != Update.Incarnation_)
    return Stored.Incarnation_ < Update.Incarnation_;
  return Stored.Sequence_ < Update.Sequence_;
}

bool RegionTable::receive(const RegionUpdate &Update, base::TimePoint Now) {
  const auto [Found, New] = Regions_.try_emplace(Update.Region_);
  Region &Stored = Found->second;
  if (!New && !accepts(Stored, Update, Now))
    return false;
  Stored.Representative_ = Update.Representative_;
  Stored.Incarnation_ = Update.Incarnation_;
  Stored.Sequence_ = Update.Sequence_;
  Stored.ReceivedAt_ = Now;
  merge(Update.Summary_, Stored, Now);
  return true;
}

void RegionTable::merge(const RegionSummary &Summary, Region &Stored,
                        base::TimePoint Now) {
  for (const HostStatus &Entry : Summary.Hosts_)
    Stored.Hosts_[Entry.Descriptor_.Host_] = {Entry, Now};
  for (const CustomerDemand &Entry : Summary.Demands_)
    Stored.Demands_[Entry.Customer_] = {Entry.RequestsPerSecond_, Now};
  Stored.Loads_ = Summary.Loads_;
  const auto IsExpired = [Now](const auto &Entry) {
    return Now - Entry.second.second >= RetentionTime;
  };
  std::erase_if(Stored.Hosts_, IsExpired);
  std::erase_if(Stored.Demands_, IsExpired);
}

std::vector<RegionView> RegionTable::regions(base::Duration ReservedFor,
                                             base::TimePoint Now) const {
  std::vector<RegionView> All;
  for (const auto &[Id, Entry] : Regions_) {
    RegionView View;
    View.Region_ = Id;
    View.Alive_ = Now - Entry.ReceivedAt_ < AliveFor;
    View.HoldsShare_ = Now - Entry.ReceivedAt_ < ReservedFor;
    for (const auto &[Customer, Demand] : Entry.Demands_)
      View.Demands_.push_back({Customer, Demand.first});
    View.Loads_ = Entry.Loads_;
    All.push_back(std::move(View));
  }
  return All;
}

std::vector<RemoteHost> RegionTable::hosts(base::Duration ReservedFor,
                                           base::TimePoint Now) const {
  std::vector<RemoteHost> All;
  for (const auto &[Id, Entry] : Regions_) {
    const bool Alive = Now - Entry.ReceivedAt_ < AliveFor;
    const bool Holds = Now - Entry.ReceivedAt_ < ReservedFor;
    for (const auto &[Host, Status] : Entry.Hosts_)
      All.push_back({Status.first, Alive && !Status.first.Gone_,
                     Holds && !Status.first.Gone_});
  }
  return All;
}

} // namespace lychee::members
