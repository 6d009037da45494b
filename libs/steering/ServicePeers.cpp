// What a service at one host hears from peers and targets, and tells them.
#include "steering/ServiceSteering.h"

#include <algorithm>

namespace lychee::steering {

void ServiceSteering::setPeers(std::span<const base::HostId> Peers) {
  const std::scoped_lock Guard(Lock_);
  Peers_.assign(Peers.begin(), Peers.end());
  for (const auto &[Id, Pool] : Pools_)
    Pool->targets().setPeers(Peers);
}

void ServiceSteering::addRound(HostLoadUpdate &Round,
                               base::TimePoint Now) const {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_) {
    if (Pool->divides()) {
      Round.SpareSlots_.push_back(
          {Service_, Id, Pool->spare(Now), Pool->targets().ownInFlightTotal()});
      continue;
    }
    for (const placement::InFlight &Own : Pool->targets().ownInFlight())
      Round.Loads_.push_back(
          {Service_, Pool->targets().idOf(Own.Target_), Own.Count_});
  }
}

void ServiceSteering::heardRound(const HostLoadUpdate &Round,
                                 base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_) {
    std::vector<placement::InFlight> Counts;
    for (const PeerLoad &Load : Round.Loads_)
      if (Load.Service_ == Service_)
        if (const auto Target = Pool->targets().indexOf(Load.Target_))
          Counts.push_back({*Target, Load.InFlight_});
    Pool->targets().recordPeerLoads(Round.Host_, Counts, Now);
  }
  for (const SpareSlots &Told : Round.SpareSlots_)
    if (RegionPool *Pool = poolOf(Told.Region_))
      if (Told.Service_ == Service_)
        Pool->heardSpare(Round.Host_, Told, Now);
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

bool ServiceSteering::fits() const {
  const std::scoped_lock Guard(Lock_);
  return std::ranges::all_of(
      Pools_, [](const auto &Each) { return Each.second->fits(); });
}

void ServiceSteering::addAsks(std::vector<SlotRequest> &Asks,
                              base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  const std::size_t Before = Asks.size();
  for (const auto &[Id, Pool] : Pools_)
    Pool->addAsks(Asks, Now);
  for (std::size_t Place = Before; Place < Asks.size(); ++Place) {
    Asks[Place].Service_ = Service_;
    Asks[Place].RequesterRegion_ = Context_.Region_;
  }
}

std::vector<SlotCount> ServiceSteering::giveSlots(const SlotRequest &Asked,
                                                  base::TimePoint Now) {
  const std::scoped_lock Guard(Lock_);
  RegionPool *Pool = poolOf(Asked.Region_);
  return Pool ? Pool->give(Asked, Now) : std::vector<SlotCount>{};
}

void ServiceSteering::acceptSlots(const SlotGrant &Gift, base::TimePoint Now,
                                  std::vector<Wakeup> &Woken) {
  const std::scoped_lock Guard(Lock_);
  RegionPool *Pool = poolOf(Gift.Region_);
  if (!Pool || !Pool->accept(Gift.Donor_, Gift.Counts_))
    return;
  letWaitingGo(Now, Woken);
  spillWaiting(Now, Woken);
}

void ServiceSteering::reported(const base::TargetId &Target, std::uint32_t Load,
                               base::TimePoint MeasuredAt) {
  const std::scoped_lock Guard(Lock_);
  for (const auto &[Id, Pool] : Pools_)
    if (const auto Index = Pool->targets().indexOf(Target))
      Pool->targets().recordReport(*Index, Load, MeasuredAt);
}

} // namespace lychee::steering
