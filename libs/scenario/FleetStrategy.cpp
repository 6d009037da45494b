#include "scenario/FleetStrategy.h"

namespace lychee::scenario {

void FleetStrategy::start(PeerNetwork Peers, std::uint64_t Seed,
                          base::TimePoint) {
  Peers_ = std::move(Peers);
  Seed_ = Seed;
  Hosts_.resize(Peers_.Hosts_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    begin(Host);
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

void FleetStrategy::report(std::size_t, const LoadReport &, base::TimePoint) {}

void FleetStrategy::tick(base::TimePoint) {}

void FleetStrategy::hostGone(std::size_t, base::TimePoint) {}

void FleetStrategy::hostBack(std::size_t Host, base::TimePoint) { begin(Host); }

} // namespace lychee::scenario
