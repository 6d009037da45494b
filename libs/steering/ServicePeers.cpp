// Exchange of one service's state with peers and targets.
#include "steering/ServiceSteering.h"

#include <algorithm>

namespace lychee::steering {

void ServiceSteering::setPeers(std::span<const base::HostId> Peers) {
  const std::scoped_lock Guard(Lock_);
  Peers_.assign(Peers.begin(), Peers.end());
  for (const auto &[Id, Pool] : Pools_)
    Pool->targets().setPeers(Peers);
}

void ServiceSteering::addLoadUpdate(HostLoadUpdate &Update,
                                    base::TimePoint Now) const {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_) {
    if (Pool->dividesSlots()) {
      Update.SpareSlots_.push_back({Service_, Id, Pool->freeSlots(Now),
                                    Pool->targets().ownInFlightTotal()});
      continue;
    }
    for (const placement::InFlight &Own : Pool->targets().ownInFlight())
      Update.Loads_.push_back(
          {Service_, Pool->targets().idOf(Own.Target_), Own.Count_});
  }
}

void ServiceSteering::receiveLoadUpdate(const HostLoadUpdate &Update,
                                        base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_) {
    std::vector<placement::InFlight> Counts;
    for (const PeerLoad &Load : Update.Loads_)
      if (Load.Service_ == Service_)
        if (const auto Target = Pool->targets().indexOf(Load.Target_))
          Counts.push_back({*Target, Load.InFlight_});
    Pool->targets().recordPeerLoads(Update.Host_, Counts, Now);
  }
  for (const SpareSlots &Spare : Update.SpareSlots_)
    if (RegionPool *Pool = poolOf(Spare.Region_))
      if (Spare.Service_ == Service_)
        Pool->receiveSpareSlots(Update.Host_, Spare, Now);
}

void ServiceSteering::enterEpoch(std::uint64_t Epoch,
                                 std::span<const Member> Members) {
  const std::scoped_lock Guard(Lock_);
  if (Epoch <= Epoch_)
    return;
  Epoch_ = Epoch;
  Settled_ = false;
  Members_.assign(Members.begin(), Members.end());
  for (const auto &[Id, Pool] : Pools_)
    Pool->enterEpoch(Epoch, Members);
}

void ServiceSteering::settle(std::uint64_t Epoch) {
  const std::scoped_lock Guard(Lock_);
  if (Epoch != Epoch_)
    return;
  Settled_ = true;
  for (const auto &[Id, Pool] : Pools_)
    Pool->settle(Epoch);
}

bool ServiceSteering::conformsToEpoch() const {
  const std::scoped_lock Guard(Lock_);
  return std::ranges::all_of(Pools_, [](const auto &Entry) {
    return Entry.second->conformsToEpoch();
  });
}

void ServiceSteering::addSlotRequests(std::vector<SlotRequest> &Requests,
                                      base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  const std::size_t Before = Requests.size();
  for (const auto &[Id, Pool] : Pools_)
    Pool->addSlotRequests(Requests, Now);
  for (std::size_t Index = Before; Index < Requests.size(); ++Index) {
    Requests[Index].Service_ = Service_;
    Requests[Index].RequesterRegion_ = Context_.Region_;
  }
}

std::vector<SlotCount> ServiceSteering::grantSlots(const SlotRequest &Request,
                                                   base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  RegionPool *Pool = poolOf(Request.Region_);
  return Pool ? Pool->grant(Request, Now) : std::vector<SlotCount>{};
}

void ServiceSteering::acceptSlots(const SlotGrant &Grant, base::TimePoint Now,
                                  std::vector<Wakeup> &Wakeups) {
  const std::scoped_lock Guard(Lock_);
  RegionPool *Pool = poolOf(Grant.Region_);
  if (!Pool || !Pool->acceptGrants(Grant.Donor_, Grant.Counts_))
    return;
  resumeWaiting(Now, Wakeups);
  spillWaiting(Now, Wakeups);
}

bool ServiceSteering::isResting(const base::TargetId &Target,
                                base::TimePoint Now) const {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Region, Pool] : Pools_)
    if (const auto Index = Pool->targets().indexOf(Target))
      return Pool->targets().isResting(*Index, Now);
  return false;
}

void ServiceSteering::reportTargetLoad(const base::TargetId &Target,
                                       std::uint32_t Load,
                                       base::TimePoint MeasuredAt) {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_)
    if (const auto Index = Pool->targets().indexOf(Target))
      Pool->targets().recordReport(*Index, Load, MeasuredAt);
}

} // namespace lychee::steering
