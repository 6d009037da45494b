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
          Id, Index, Settings_.Limits_, Settings_.Seed_ + Index));
    }
  }
  Rates_.applyIntent(*Intent, Now);
  for (const ServicePointer &Service : services())
    Service->applyIntent(*Intent);
}

void FleetSteering::setRateShare(const base::CustomerId &Customer, double Share,
                                 base::TimePoint Now) {
  Rates_.setShare(Customer, Share, Now);
}

void FleetSteering::setDefaultRateShare(double Share, base::TimePoint Now) {
  Rates_.setDefaultShare(Share, Now);
}

Decision FleetSteering::arrive(const Request &Arrived, base::TimePoint Now) {
  const ServicePointer Service = find(Arrived.Service_);
  Decision Refused;
  if (!Service) {
    Refused.Refusal_ = Refusal::UnknownService;
    Refused.Reason_ = nameOf(Refused.Refusal_);
    return Refused;
  }
  const auto ComeBackAfter = Rates_.take(Arrived.Customer_, Now);
  if (!ComeBackAfter)
    return Service->arrive(Arrived, Now);
  Refused.Refusal_ = Refusal::OverRate;
  Refused.Reason_ = nameOf(Refused.Refusal_);
  Refused.RetryAfter_ = *ComeBackAfter;
  return Refused;
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
