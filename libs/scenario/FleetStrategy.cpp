#include "scenario/FleetStrategy.h"

namespace lychee::scenario {

void FleetStrategy::start(PeerNetwork Peers, std::uint64_t Seed,
                          base::TimePoint Now) {
  Peers_ = std::move(Peers);
  Seed_ = Seed;
  Now_ = Now;
  LeasesEnd_ = Now;
  Hosts_.resize(Peers_.Hosts_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    begin(Host);
  changeMembers(Now);
}

void FleetStrategy::begin(std::size_t Host) {
  steering::SteeringSettings Settings;
  Settings.Host_ = Peers_.Name_(Host);
  Settings.Region_ = Peers_.Region_(Host);
  Settings.Seed_ = Seed_ * 1000 + Host;
  Hosts_[Host] = std::make_unique<steering::FleetSteering>(Settings);
}

steering::Steering &FleetStrategy::steering(std::size_t Host) {
  return *Hosts_[Host];
}

void FleetStrategy::applyIntent(std::size_t Host,
                                std::shared_ptr<const settings::Intent> Intent,
                                base::TimePoint Now) {
  Hosts_[Host]->applyIntent(Intent, Now);
  Hosts_[Host]->setDefaultRateShare(1.0 / static_cast<double>(Hosts_.size()),
                                    Now);
}

void FleetStrategy::report(std::size_t Host, const LoadReport &Heard,
                           base::TimePoint) {
  Hosts_[Host]->reported(Heard.Service_, Heard.Target_, Heard.Load_,
                         Heard.TakenAt_);
}

void FleetStrategy::tick(base::TimePoint Now) {
  Now_ = Now;
  settle(Now);
  const bool Round = Now - LastRound_ >= RoundInterval;
  if (Round)
    LastRound_ = Now;
  for (std::size_t From = 0; From < Hosts_.size(); ++From) {
    if (!Peers_.Alive_(From))
      continue;
    if (Round)
      tellPeers(From, Now);
    if (Rules_.Exchange_)
      askForSlots(From, Now);
  }
}

void FleetStrategy::tellPeers(std::size_t From, base::TimePoint Now) {
  const auto Round =
      std::make_shared<const steering::HostRound>(Hosts_[From]->round(Now));
  const auto Suspects =
      std::make_shared<const std::vector<retrying::CrashEvidence>>(
          Hosts_[From]->suspects().evidence(Now));
  for (std::size_t To = 0; To < Hosts_.size(); ++To)
    if (To != From)
      Peers_.Send_(From, To, [this, To, Now, Round, Suspects] {
        Hosts_[To]->heardRound(*Round, Now);
        Hosts_[To]->suspects().merge(*Suspects, Now);
      });
}

std::optional<std::size_t>
FleetStrategy::placeOf(const base::HostId &Host) const {
  for (std::size_t Place = 0; Place < Hosts_.size(); ++Place)
    if (Peers_.Alive_(Place) && Peers_.Name_(Place) == Host)
      return Place;
  return std::nullopt;
}

void FleetStrategy::askForSlots(std::size_t From, base::TimePoint Now) {
  for (const steering::SlotAsk &Ask : Hosts_[From]->slotAsks(Now)) {
    const auto Donor = placeOf(Ask.Donor_);
    if (!Donor)
      continue;
    Peers_.Send_(From, *Donor, [this, From, Place = *Donor, Ask, Now] {
      giveSlots(Place, From, Ask, Now);
    });
  }
}

void FleetStrategy::giveSlots(std::size_t Donor, std::size_t Asker,
                              const steering::SlotAsk &Ask,
                              base::TimePoint Now) {
  const auto Gift = Hosts_[Donor]->giveSlots(Ask, Now);
  if (!Gift)
    return;
  Peers_.Send_(Donor, Asker, [this, Asker, Given = *Gift, Now] {
    std::vector<steering::Wakeup> Woken;
    Hosts_[Asker]->acceptSlots(Given, Now, Woken);
    Peers_.Wake_(Asker, Woken);
  });
}

void FleetStrategy::changeMembers(base::TimePoint) {
  std::vector<steering::Member> Members;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Peers_.Alive_(Host))
      Members.push_back({Peers_.Name_(Host), Peers_.Region_(Host)});
  ++Epoch_;
  Settled_ = false;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
    if (!Peers_.Alive_(Host))
      continue;
    std::vector<base::HostId> Others;
    for (const steering::Member &Each : Members)
      if (Each.Host_ != Peers_.Name_(Host))
        Others.push_back(Each.Host_);
    Hosts_[Host]->setPeers(Others);
    if (Rules_.Slots_)
      Hosts_[Host]->enterEpoch(Epoch_, Members);
  }
}

void FleetStrategy::settle(base::TimePoint Now) {
  if (Settled_ || !Rules_.Slots_ || Now < LeasesEnd_)
    return;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Peers_.Alive_(Host) && !Hosts_[Host]->fitsEpoch())
      return;
  Settled_ = true;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Peers_.Alive_(Host))
      Hosts_[Host]->settleEpoch(Epoch_);
}

void FleetStrategy::hostGone(std::size_t, base::TimePoint Now) {
  LeasesEnd_ = Now + LeaseTime;
  changeMembers(Now);
}

void FleetStrategy::hostBack(std::size_t Host, base::TimePoint Now) {
  begin(Host);
  changeMembers(Now);
}

} // namespace lychee::scenario
