#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>

/// What a dispatch is told between requests: intent, targets, the fleet.
namespace lychee::dispatch {

void DispatchSteering::setIntent(std::shared_ptr<const live::Intent> Fresh,
                                 base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Intent_ = std::move(Fresh);
  Rates_.setCustomers(Intent_->Customers_, Now);
  for (const auto &[Id, Rule] : Intent_->Services_) {
    ServiceState &Service = serviceAt(Id);
    Service.ColdRate_ = Rule.ColdRatePerSecond_;
    Service.ColdTime_ = Rule.ColdTime_;
  }
}

void DispatchSteering::setTargets(
    std::span<const live::KnownTarget> All,
    const std::map<base::ZoneId, base::RegionId> &Regions,
    base::TimePoint /*Now*/) {
  const std::lock_guard Guard(Lock_);
  std::map<base::ServiceId, std::vector<TargetState>> Next;
  for (const live::KnownTarget &Each : All) {
    const live::TargetRecord &Record = Each.Record_;
    TargetState Made;
    TargetState *Old = find(serviceAt(Record.Service_), Record.Id_);
    const bool SameStart = Old != nullptr &&
                           Old->Record_.Started_ == Record.Started_ &&
                           Old->Record_.Address_ == Record.Address_;
    if (SameStart)
      Made = *Old;
    Made.Record_ = Record;
    Made.ColdUntil_ = std::max(Made.ColdUntil_, Each.ColdUntil_);
    Made.Hash_ = base::stableHash(Record.Id_.name());
    if (const auto Region = Regions.find(Record.Zone_); Region != Regions.end())
      Made.Region_ = Region->second;
    Made.Evacuated_ = Evacuated_.contains(Record.Zone_);
    Next[Record.Service_].push_back(std::move(Made));
  }
  for (auto &[Id, Service] : Services_)
    Service.Targets_ = std::move(Next[Id]);
}

void DispatchSteering::setEvacuated(const std::set<base::ZoneId> &Zones,
                                    base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Evacuated_ = Zones;
  for (auto &[Id, Service] : Services_)
    for (TargetState &Each : Service.Targets_) {
      const bool Before = Each.Evacuated_;
      Each.Evacuated_ = Zones.contains(Each.Record_.Zone_);
      // Targets without work go cold, and their entries may not say so yet.
      if (Before && !Each.Evacuated_)
        Each.ColdUntil_ = std::max(Each.ColdUntil_, Now + Service.ColdTime_);
    }
}

void DispatchSteering::updateFleetDemand(const FleetDemand &Fleet,
                                         base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Hosts_ = Fleet.Holders_;
  Rates_.divide(Fleet, Now);
  divideRegions(Fleet, Now);
}

void DispatchSteering::countDemands(
    const base::ServiceId &Id, ServiceState &Service, const FleetDemand &Fleet,
    base::TimePoint Now, std::map<base::RegionId, RegionLoad> &Into) {
  const auto Count = [&Into](const base::RegionId &From,
                             const base::RegionId &BoundTo, double Slots) {
    if (BoundTo.empty())
      Into[From].Demand_ += Slots;
    else
      Into[BoundTo].Bound_ += Slots;
  };
  const auto CountTold = [&](const base::RegionId &From,
                             std::span<const members::ServiceDemand> Loads) {
    for (const members::ServiceDemand &Told : Loads)
      if (Told.Service_ == Id)
        Count(From, Told.BoundTo_, Told.Slots_);
  };
  Into[Settings_.Region_];
  for (auto &[BoundTo, Demand] : Service.Demands_)
    Count(Settings_.Region_, BoundTo, Demand.perSecond(Now));
  for (const members::HostView &Other : Fleet.Others_)
    if (Other.Alive_)
      CountTold(Other.Descriptor_.Region_, Other.Loads_);
  for (const members::RegionView &Region : Fleet.Elsewhere_)
    if (Region.Alive_)
      CountTold(Region.Region_, Region.Loads_);
}

void DispatchSteering::divideRegions(const FleetDemand &Fleet,
                                     base::TimePoint Now) {
  for (auto &[Id, Service] : Services_) {
    if (Service.Targets_.empty())
      continue;
    std::map<base::RegionId, RegionLoad> Loads;
    for (const TargetState &Each : Service.Targets_)
      if (!Each.Evacuated_ && !Each.Record_.Leaving_ && !Each.Trust_.isOut(Now))
        Loads[Each.Region_].Slots_ += Each.Record_.Slots_;
    countDemands(Id, Service, Fleet, Now, Loads);
    Service.Split_.update(Loads, Now);
  }
}

std::vector<members::ServiceDemand>
DispatchSteering::serviceDemands(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::vector<members::ServiceDemand> All;
  for (auto &[Id, Service] : Services_)
    for (auto &[BoundTo, Demand] : Service.Demands_)
      All.push_back({Id, Demand.perSecond(Now), BoundTo});
  return All;
}

std::vector<members::RuleExecutionTimes>
DispatchSteering::executionTimes() const {
  const std::lock_guard Guard(Lock_);
  std::vector<members::RuleExecutionTimes> All;
  for (const auto &[Rule, Work] : Works_)
    if (Work.isKnown() && All.size() < members::MaxRuleExecutionTimes)
      All.push_back(
          {Rule, Work.warmSeconds(), Work.coldSeconds(), Work.usualSeconds()});
  return All;
}

void DispatchSteering::mergeExecutionTimes(
    std::span<const members::RuleExecutionTimes> Told) {
  const std::lock_guard Guard(Lock_);
  for (const members::RuleExecutionTimes &Each : Told)
    if (Each.WarmSeconds_ > 0)
      Works_[Each.Rule_].adopt(Each.WarmSeconds_, Each.ColdSeconds_,
                               Each.UsualSeconds_);
}

std::vector<members::CustomerDemand>
DispatchSteering::customerDemands(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  return Rates_.demands(Now);
}

} // namespace lychee::dispatch
