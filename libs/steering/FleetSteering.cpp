#include "steering/FleetSteering.h"

#include <algorithm>

namespace lychee::steering {

namespace {

constexpr std::uint64_t IndexMask = 0xffff;

} // namespace

FleetSteering::FleetSteering(SteeringSettings Settings)
    : Settings_(std::move(Settings)) {}

void FleetSteering::applyIntent(
    const std::shared_ptr<const settings::Intent> &Intent,
    base::TimePoint Now) {
  {
    const std::scoped_lock Guard(Lock_);
    if (Intent_ && Intent_->Version_ > Intent->Version_)
      return;
    Intent_ = Intent;
    for (const auto &[Id, Service] : Intent->Services_) {
      const bool Known =
          std::ranges::any_of(Services_, [&Name = Id](const auto &Held) {
            return Held->id() == Name;
          });
      if (Known)
        continue;
      const auto Index = static_cast<std::uint16_t>(Services_.size());
      Services_.push_back(std::make_shared<ServiceSteering>(
          Id, Index,
          HostContext{Settings_.Host_, Settings_.Limits_, &Suspects_},
          Settings_.Seed_ + Index));
      Services_.back()->setPeers(Peers_);
    }
  }
  Rates_.applyIntent(*Intent, Now);
  for (const ServicePointer &Service : services())
    Service->applyIntent(*Intent, Now);
}

void FleetSteering::setRateShare(const base::CustomerId &Customer, double Share,
                                 base::TimePoint Now) {
  Rates_.setShare(Customer, Share, Now);
}

void FleetSteering::setDefaultRateShare(double Share, base::TimePoint Now) {
  Rates_.setDefaultShare(Share, Now);
}

void FleetSteering::setPeers(std::span<const base::HostId> Peers) {
  {
    const std::scoped_lock Guard(Lock_);
    Peers_.assign(Peers.begin(), Peers.end());
  }
  for (const ServicePointer &Service : services())
    Service->setPeers(Peers);
}

std::vector<PeerLoad> FleetSteering::ownLoads() const {
  std::vector<PeerLoad> Loads;
  for (const ServicePointer &Service : services())
    Service->addOwnLoads(Loads);
  return Loads;
}

void FleetSteering::heardPeer(const base::HostId &Peer,
                              std::span<const PeerLoad> Loads,
                              base::TimePoint Now) {
  for (const ServicePointer &Service : services())
    Service->heardPeer(Peer, Loads, Now);
}

void FleetSteering::reported(const base::ServiceId &Service,
                             const base::TargetId &Target, std::uint32_t Load,
                             base::TimePoint MeasuredAt) {
  if (const ServicePointer Known = find(Service))
    Known->reported(Target, Load, MeasuredAt);
}

Decision FleetSteering::arrive(const Request &Arrived, base::TimePoint Now) {
  const ServicePointer Service = find(Arrived.Service_);
  if (!Service) {
    Decision Refused;
    Refused.Refusal_ = Refusal::UnknownService;
    Refused.Reason_ = nameOf(Refused.Refusal_);
    return Refused;
  }
  admission::RateCheck Rate;
  if (const auto ComeBackAfter = Rates_.take(Arrived.Customer_, Now))
    Rate = {false, *ComeBackAfter};
  return Service->arrive(Arrived, Rate, Now);
}

Decision FleetSteering::finish(std::uint64_t Ticket, const SendReport &Report,
                               base::TimePoint Now,
                               std::vector<Wakeup> &Woken) {
  const ServicePointer Service = find(Ticket);
  return Service ? Service->finish(Ticket, Report, Now, Woken) : Decision{};
}

void FleetSteering::cancel(std::uint64_t Ticket, base::TimePoint Now) {
  if (const ServicePointer Service = find(Ticket))
    Service->cancel(Ticket, Now);
}

void FleetSteering::tick(base::TimePoint Now, std::vector<Wakeup> &Woken) {
  for (const ServicePointer &Service : services())
    Service->tick(Now, Woken);
}

FleetSteering::ServicePointer
FleetSteering::find(const base::ServiceId &Service) const {
  const std::scoped_lock Guard(Lock_);
  if (!Intent_ || !Intent_->Services_.contains(Service))
    return nullptr;
  for (const ServicePointer &Known : Services_)
    if (Known->id() == Service)
      return Known;
  return nullptr;
}

FleetSteering::ServicePointer FleetSteering::find(std::uint64_t Ticket) const {
  const std::scoped_lock Guard(Lock_);
  const std::size_t Index = Ticket & IndexMask;
  return Ticket != 0 && Index < Services_.size() ? Services_[Index] : nullptr;
}

std::vector<FleetSteering::ServicePointer> FleetSteering::services() const {
  const std::scoped_lock Guard(Lock_);
  return Services_;
}

} // namespace lychee::steering
