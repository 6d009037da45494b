#include "members/RegionAnnouncer.h"

#include "base/Hash.h"
#include "members/DemandDeltaEncoder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lychee::members {

bool RegionAnnouncer::isScheduled(const std::string &Name) const {
  return base::stableHash(Name) % CycleLength == Round_ % CycleLength;
}

RegionSummary RegionAnnouncer::select(const RegionSummary &Known) {
  ++Round_;
  RegionSummary Result;
  Result.Hosts_ = selectHosts(Known.Hosts_);
  Result.Demands_ = selectDemands(Known.Demands_);
  // These are few, and changes to them must arrive immediately.
  Result.Loads_ = Known.Loads_;
  Result.Evidence_ = Known.Evidence_;
  Result.TargetRates_ = Known.TargetRates_;
  Result.TargetLeavings_ = Known.TargetLeavings_;
  return Result;
}

std::vector<HostStatus>
RegionAnnouncer::selectHosts(std::span<const HostStatus> Known) {
  std::vector<HostStatus> Result;
  std::set<base::HostId> Current;
  for (const HostStatus &Entry : Known) {
    Current.insert(Entry.Descriptor_.Host_);
    const auto [Found, New] = Hosts_.try_emplace(Entry.Descriptor_.Host_);
    AnnouncedHost &Announced = Found->second;
    if (New || !(Announced.Status_ == Entry))
      Announced = {Entry, Repeats};
    const bool IsDue = Announced.RepeatsLeft_ > 0 ||
                       isScheduled(Entry.Descriptor_.Host_.name());
    if (!IsDue || Result.size() >= MaxHosts)
      continue;
    Announced.RepeatsLeft_ = std::max(0, Announced.RepeatsLeft_ - 1);
    Result.push_back(Entry);
  }
  std::erase_if(Hosts_, [&Current](const auto &Entry) {
    return !Current.contains(Entry.first);
  });
  return Result;
}

std::vector<CustomerDemand>
RegionAnnouncer::selectDemands(std::span<const CustomerDemand> Known) {
  // A customer that is no longer known has no demand.
  std::map<base::CustomerId, double> All;
  for (const auto &[Customer, Announced] : Demands_)
    All[Customer] = 0;
  for (const CustomerDemand &Entry : Known)
    All[Entry.Customer_] = Entry.RequestsPerSecond_;
  std::vector<CustomerDemand> Result;
  for (const auto &[Customer, PerSecond] : All) {
    AnnouncedDemand &Announced = Demands_[Customer];
    const double Change = std::abs(PerSecond - Announced.PerSecond_);
    if (Change > DemandDeltaEncoder::MinChange +
                     DemandDeltaEncoder::MinChangeRatio * Announced.PerSecond_)
      Announced.RepeatsLeft_ = Repeats;
    const bool IsDue =
        Announced.RepeatsLeft_ > 0 || isScheduled(Customer.name());
    if (!IsDue || Result.size() >= MaxDemands)
      continue;
    Announced = {PerSecond, std::max(0, Announced.RepeatsLeft_ - 1)};
    Result.push_back({Customer, PerSecond});
  }
  std::erase_if(Demands_, [](const auto &Entry) {
    return Entry.second.PerSecond_ <= 0 && Entry.second.RepeatsLeft_ == 0;
  });
  return Result;
}

} // namespace lychee::members
