#include "dispatch/DispatchSteering.h"

#include "base/Hash.h"

#include <algorithm>

/// Updates between requests: intent, targets, and the demand of other hosts.
namespace lychee::dispatch {

void DispatchSteering::setIntent(std::shared_ptr<const live::Intent> NewIntent,
                                 base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  Intent_ = std::move(NewIntent);
  RateLimiter_.setCustomers(Intent_->Customers_, Now);
  for (const auto &[Id, Rule] : Intent_->Services_) {
    ServiceState &Service = serviceState(Id);
    Service.ColdRatePerSecond_ = Rule.ColdRatePerSecond_;
    Service.ColdTime_ = Rule.ColdTime_;
  }
}

void DispatchSteering::setTargets(
    std::span<const live::KnownTarget> Targets,
    const std::map<base::ZoneId, base::RegionId> &Regions,
    base::TimePoint /*Now*/) {
  const std::lock_guard Guard(Lock_);
  std::map<base::ServiceId, std::vector<TargetState>> Next;
  for (const live::KnownTarget &Known : Targets) {
    const live::TargetRecord &Record = Known.Record_;
    TargetState State;
    TargetState *Old = findTarget(serviceState(Record.Service_), Record.Id_);
    const bool SameStart = Old != nullptr &&
                           Old->Record_.Started_ == Record.Started_ &&
                           Old->Record_.Address_ == Record.Address_;
    if (SameStart)
      State = *Old;
    State.Record_ = Record;
    State.ColdUntil_ = std::max(State.ColdUntil_, Known.ColdUntil_);
    State.Hash_ = base::stableHash(Record.Id_.name());
    State.StartKey_ = base::stableHash(
        Record.Id_.name(), static_cast<std::uint64_t>(Record.Started_));
    State.Stated_ = Statements_.find(State.StartKey_);
    if (const auto Region = Regions.find(Record.Zone_); Region != Regions.end())
      State.Region_ = Region->second;
    State.Evacuated_ = EvacuatedZones_.contains(Record.Zone_);
    Next[Record.Service_].push_back(std::move(State));
  }
  for (auto &[Id, Service] : Services_)
    Service.Targets_ = std::move(Next[Id]);
}

void DispatchSteering::setEvacuated(const std::set<base::ZoneId> &Zones,
                                    base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  EvacuatedZones_ = Zones;
  for (auto &[Id, Service] : Services_)
    for (TargetState &Target : Service.Targets_) {
      const bool WasEvacuated = Target.Evacuated_;
      Target.Evacuated_ = Zones.contains(Target.Record_.Zone_);
      // Targets without work go cold, and their entries may not show it yet.
      if (WasEvacuated && !Target.Evacuated_)
        Target.ColdUntil_ =
            std::max(Target.ColdUntil_, Now + Service.ColdTime_);
    }
}

void DispatchSteering::updateFleetDemand(const FleetDemand &Fleet,
                                         base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  HostCount_ = Fleet.HostCount_;
  Statements_.expire(Now);
  RateOwners_.update(Fleet, Now);
  Forwarders_.update(Fleet, Now);
  RateLimiter_.redistribute(Fleet, Now);
  updateRegionSplits(Fleet, Now);
  updateAdmissions(Fleet, Now);
}

void DispatchSteering::addDemands(
    const base::ServiceId &Id, ServiceState &Service, const FleetDemand &Fleet,
    base::TimePoint Now, std::map<base::RegionId, RegionLoad> &Result) {
  const auto Count = [&Result](const base::RegionId &From,
                               const base::RegionId &BoundTo, double Slots) {
    if (BoundTo.empty())
      Result[From].Demand_ += Slots;
    else
      Result[BoundTo].BoundDemand_ += Slots;
  };
  const auto CountAnnounced =
      [&](const base::RegionId &From,
          std::span<const members::ServiceDemand> Loads) {
        for (const members::ServiceDemand &Announced : Loads)
          if (Announced.Service_ == Id)
            Count(From, Announced.BoundTo_, Announced.Slots_);
      };
  Result[Settings_.Region_];
  for (auto &[BoundTo, Demand] : Service.Demands_)
    Count(Settings_.Region_, BoundTo, Demand.perSecond(Now));
  for (const members::HostView &Other : Fleet.OtherHosts_)
    if (Other.Alive_)
      CountAnnounced(Other.Descriptor_.Region_, Other.Loads_);
  for (const members::RegionView &Region : Fleet.OtherRegions_)
    if (Region.Alive_)
      CountAnnounced(Region.Region_, Region.Loads_);
}

void DispatchSteering::updateRegionSplits(const FleetDemand &Fleet,
                                          base::TimePoint Now) {
  for (auto &[Id, Service] : Services_) {
    if (Service.Targets_.empty())
      continue;
    std::map<base::RegionId, RegionLoad> Loads;
    for (const TargetState &Target : Service.Targets_)
      if (!Target.Evacuated_ && !Target.isLeaving() && !Target.isResting(Now) &&
          !Target.Health_.isEjected(Now))
        Loads[Target.Region_].Slots_ += Target.Record_.Slots_;
    addDemands(Id, Service, Fleet, Now, Loads);
    Service.RegionSplit_.update(Loads, Now);
    Service.RegionSlots_ = std::move(Loads);
  }
}

std::vector<members::ServiceDemand>
DispatchSteering::serviceDemands(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  std::vector<members::ServiceDemand> Result;
  for (auto &[Id, Service] : Services_)
    for (auto &[BoundTo, Demand] : Service.Demands_)
      Result.push_back({Id, Demand.perSecond(Now), BoundTo});
  return Result;
}

std::vector<members::RuleExecutionTimes>
DispatchSteering::executionTimes() const {
  const std::lock_guard Guard(Lock_);
  std::vector<members::RuleExecutionTimes> Result;
  for (const auto &[Rule, Times] : ExecutionTimes_)
    if (Times.isKnown() && Result.size() < members::MaxRuleExecutionTimes)
      Result.push_back({Rule, Times.warmSeconds(), Times.coldSeconds(),
                        Times.meanSeconds()});
  return Result;
}

void DispatchSteering::mergeExecutionTimes(
    std::span<const members::RuleExecutionTimes> Announced) {
  const std::lock_guard Guard(Lock_);
  for (const members::RuleExecutionTimes &Entry : Announced)
    if (Entry.WarmSeconds_ > 0)
      ExecutionTimes_[Entry.Rule_].adopt(Entry.WarmSeconds_, Entry.ColdSeconds_,
                                         Entry.UsualSeconds_);
}

std::vector<members::CustomerDemand>
DispatchSteering::customerDemands(base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  return RateLimiter_.demands(Now);
}

} // namespace lychee::dispatch
