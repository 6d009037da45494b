#include "steering/FleetSteering.h"

#include <algorithm>

namespace lychee::steering {

namespace {

constexpr std::uint64_t IndexMask = 0xffff;

admission::RateCheck rateCheckOf(const budget::SpendOutcome &Spent) {
  /// A customer that is told to come back later than this is told this.
  constexpr base::Duration LongestRetryAfter = std::chrono::seconds(60);
  return {Spent.Result_ == budget::SpendResult::Granted,
          std::min(Spent.RefillTime_, LongestRetryAfter)};
}

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
          Id, Index, makeContext(), Settings_.Seed_ + Index));
      Services_.back()->setWallOffset(WallOffset_);
      Services_.back()->setPeers(Peers_);
      Services_.back()->enterEpoch(Epoch_, Members_);
      if (Settled_)
        Services_.back()->settle(Epoch_);
    }
  }
  Rates_.applyIntent(*Intent, Now);
  if (Settings_.Rates_)
    for (const auto &[Id, Customer] : Intent->Customers_)
      Settings_.Rates_->setTotal(rateBudgetName(Id),
                                 budget::RateTotal::fromRequests(
                                     Customer.RatePerSecond_, Customer.Burst_),
                                 Now);
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

HostLoadUpdate FleetSteering::makeLoadUpdate(base::TimePoint Now) const {
  HostLoadUpdate Round;
  Round.Host_ = Settings_.Host_;
  for (const ServicePointer &Service : services())
    Service->addRound(Round, Now);
  return Round;
}

void FleetSteering::receiveLoadUpdate(const HostLoadUpdate &Round,
                                      base::TimePoint Now) {
  for (const ServicePointer &Service : services())
    Service->heardRound(Round, Now);
}

void FleetSteering::enterEpoch(std::uint64_t Epoch,
                               std::span<const Member> Members) {
  {
    const std::scoped_lock Guard(Lock_);
    if (Epoch <= Epoch_)
      return;
    Epoch_ = Epoch;
    Settled_ = false;
    Members_.assign(Members.begin(), Members.end());
  }
  for (const ServicePointer &Service : services())
    Service->enterEpoch(Epoch, Members);
}

bool FleetSteering::conformsToEpoch() const {
  return std::ranges::all_of(
      services(), [](const ServicePointer &Each) { return Each->fits(); });
}

void FleetSteering::settleEpoch(std::uint64_t Epoch) {
  {
    const std::scoped_lock Guard(Lock_);
    if (Epoch != Epoch_)
      return;
    Settled_ = true;
  }
  for (const ServicePointer &Service : services())
    Service->settle(Epoch);
}

std::vector<SlotRequest> FleetSteering::slotRequests(base::TimePoint Now) {
  std::vector<SlotRequest> Asks;
  for (const ServicePointer &Service : services())
    Service->addAsks(Asks, Now);
  return Asks;
}

std::optional<SlotGrant> FleetSteering::grantSlots(const SlotRequest &Asked,
                                                   base::TimePoint Now) {
  const ServicePointer Service = find(Asked.Service_);
  if (!Service)
    return std::nullopt;
  SlotGrant Gift;
  Gift.Counts_ = Service->giveSlots(Asked, Now);
  if (Gift.Counts_.empty())
    return std::nullopt;
  Gift.Donor_ = Settings_.Host_;
  Gift.Receiver_ = Asked.Requester_;
  Gift.Service_ = Asked.Service_;
  Gift.Region_ = Asked.Region_;
  return Gift;
}

void FleetSteering::acceptSlots(const SlotGrant &Gift, base::TimePoint Now,
                                std::vector<Wakeup> &Woken) {
  if (Gift.Receiver_ != Settings_.Host_)
    return;
  if (const ServicePointer Service = find(Gift.Service_))
    Service->acceptSlots(Gift, Now, Woken);
}

void FleetSteering::reportTargetLoad(const base::ServiceId &Service,
                                     const base::TargetId &Target,
                                     std::uint32_t Load,
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
  return Service->arrive(Arrived, checkRate(Arrived.Customer_, Now), Now);
}

admission::RateCheck FleetSteering::checkRate(const base::CustomerId &Customer,
                                              base::TimePoint Now) {
  if (Settings_.Rates_)
    return rateCheckOf(Settings_.Rates_->spend(rateBudgetName(Customer), Now));
  const auto ComeBackAfter = Rates_.take(Customer, Now);
  return {!ComeBackAfter, ComeBackAfter.value_or(base::Duration())};
}

HostContext FleetSteering::makeContext() {
  HostContext Context;
  Context.Host_ = Settings_.Host_;
  Context.Region_ = Settings_.Region_;
  Context.Limits_ = Settings_.Limits_;
  Context.Suspects_ = &Suspects_;
  if (Settings_.Rates_)
    Context.RecheckRate_ = [this](const base::CustomerId &Customer,
                                  base::TimePoint Now) {
      return rateCheckOf(
          Settings_.Rates_->retrySpend(rateBudgetName(Customer), Now));
    };
  return Context;
}

void FleetSteering::setWallTime(base::WallPoint Wall, base::TimePoint Now) {
  const base::Duration Offset =
      Wall.time_since_epoch() - Now.time_since_epoch();
  {
    const std::scoped_lock Guard(Lock_);
    WallOffset_ = Offset;
  }
  for (const ServicePointer &Service : services())
    Service->setWallOffset(Offset);
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
