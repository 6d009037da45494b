#include "scenario/FleetStrategy.h"

namespace lychee::scenario {

void FleetStrategy::start(PeerNetwork Peers, std::uint64_t Seed,
                          base::TimePoint) {
  Peers_ = std::move(Peers);
  Seed_ = Seed;
  Hosts_.resize(Peers_.Hosts_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    begin(Host);
  setPeers();
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
  if (Now - LastRound_ < RoundInterval)
    return;
  LastRound_ = Now;
  for (std::size_t From = 0; From < Hosts_.size(); ++From)
    if (Peers_.Alive_(From))
      tellPeers(From, Now);
}

void FleetStrategy::tellPeers(std::size_t From, base::TimePoint Now) {
  const auto Loads = std::make_shared<const std::vector<steering::PeerLoad>>(
      Hosts_[From]->ownLoads());
  const auto Suspects =
      std::make_shared<const std::vector<retrying::CrashEvidence>>(
          Hosts_[From]->suspects().evidence(Now));
  for (std::size_t To = 0; To < Hosts_.size(); ++To)
    if (To != From)
      Peers_.Send_(From, To, [this, From, To, Now, Loads, Suspects] {
        Hosts_[To]->heardPeer(Peers_.Name_(From), *Loads, Now);
        Hosts_[To]->suspects().merge(*Suspects, Now);
      });
}

void FleetStrategy::setPeers() {
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
    std::vector<base::HostId> Others;
    for (std::size_t Other = 0; Other < Hosts_.size(); ++Other)
      if (Other != Host && Peers_.Alive_(Other))
        Others.push_back(Peers_.Name_(Other));
    Hosts_[Host]->setPeers(Others);
  }
}

void FleetStrategy::hostGone(std::size_t, base::TimePoint) { setPeers(); }

void FleetStrategy::hostBack(std::size_t Host, base::TimePoint) {
  begin(Host);
  setPeers();
}

} // namespace lychee::scenario
