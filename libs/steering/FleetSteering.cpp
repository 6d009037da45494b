#include "steering/FleetSteering.h"

#include <algorithm>

namespace lychee::steering {

namespace {

constexpr std::uint64_t IndexMask = 0xffff;

admission::RateCheck rateCheckOf(const budget::SpendOutcome &Spending) {
  /// Upper bound of the retry time that a customer is given.
  constexpr base::Duration MaxRetryAfter = std::chrono::seconds(60);
  return {Spending.Result_ == budget::SpendResult::Granted,
          std::min(Spending.RefillTime_, MaxRetryAfter)};
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
          std::ranges::any_of(Services_, [&Name = Id](const auto &Existing) {
            return Existing->id() == Name;
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
  HostLoadUpdate Update;
  Update.Host_ = Settings_.Host_;
  for (const ServicePointer &Service : services())
    Service->addLoadUpdate(Update, Now);
  return Update;
}

void FleetSteering::receiveLoadUpdate(const HostLoadUpdate &Update,
                                      base::TimePoint Now) {
  for (const ServicePointer &Service : services())
    Service->receiveLoadUpdate(Update, Now);
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
  return std::ranges::all_of(services(), [](const ServicePointer &Service) {
    return Service->conformsToEpoch();
  });
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
  std::vector<SlotRequest> Requests;
  for (const ServicePointer &Service : services())
    Service->addSlotRequests(Requests, Now);
  return Requests;
}

std::optional<SlotGrant> FleetSteering::grantSlots(const SlotRequest &Request,
                                                   base::TimePoint Now) {
  const ServicePointer Service = find(Request.Service_);
  if (!Service)
    return std::nullopt;
  SlotGrant Grant;
  Grant.Counts_ = Service->grantSlots(Request, Now);
  if (Grant.Counts_.empty())
    return std::nullopt;
  Grant.Donor_ = Settings_.Host_;
  Grant.Receiver_ = Request.Requester_;
  Grant.Service_ = Request.Service_;
  Grant.Region_ = Request.Region_;
  return Grant;
}

void FleetSteering::acceptSlots(const SlotGrant &Grant, base::TimePoint Now,
                                std::vector<Wakeup> &Wakeups) {
  if (Grant.Receiver_ != Settings_.Host_)
    return;
  if (const ServicePointer Service = find(Grant.Service_))
    Service->acceptSlots(Grant, Now, Wakeups);
}

bool FleetSteering::isResting(const base::ServiceId &Service,
                              const base::TargetId &Target,
                              base::TimePoint Now) const {
  const ServicePointer Known = find(Service);
  return Known && Known->isResting(Target, Now);
}

void FleetSteering::reportTargetLoad(const base::ServiceId &Service,
                                     const base::TargetId &Target,
                                     std::uint32_t Load,
                                     base::TimePoint MeasuredAt) {
  if (const ServicePointer Known = find(Service))
    Known->reportTargetLoad(Target, Load, MeasuredAt);
}

Decision FleetSteering::arrive(const Request &NewRequest, base::TimePoint Now) {
  const ServicePointer Service = find(NewRequest.Service_);
  if (!Service) {
    Decision Refused;
    Refused.Refusal_ = Refusal::UnknownService;
    Refused.Reason_ = nameOf(Refused.Refusal_);
    return Refused;
  }
  return Service->arrive(NewRequest, checkRate(NewRequest.Customer_, Now), Now);
}

admission::RateCheck FleetSteering::checkRate(const base::CustomerId &Customer,
                                              base::TimePoint Now) {
  if (Settings_.Rates_)
    return rateCheckOf(Settings_.Rates_->spend(rateBudgetName(Customer), Now));
  const auto RetryAfter = Rates_.take(Customer, Now);
  return {!RetryAfter, RetryAfter.value_or(base::Duration())};
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
                               std::vector<Wakeup> &Wakeups) {
  const ServicePointer Service = find(Ticket);
  return Service ? Service->finish(Ticket, Report, Now, Wakeups) : Decision{};
}

bool FleetSteering::mayWrite(std::uint64_t Ticket, base::TimePoint Now) {
  const ServicePointer Service = find(Ticket);
  return !Service || Service->mayWrite(Ticket, Now);
}

void FleetSteering::recordAnswerHead(std::uint64_t Ticket,
                                     const AnswerHead &Head,
                                     base::TimePoint Now) {
  if (const ServicePointer Service = find(Ticket))
    Service->recordAnswerHead(Ticket, Head, Now);
}

void FleetSteering::cancel(std::uint64_t Ticket, base::TimePoint Now) {
  if (const ServicePointer Service = find(Ticket))
    Service->cancel(Ticket, Now);
}

void FleetSteering::tick(base::TimePoint Now, std::vector<Wakeup> &Wakeups) {
  for (const ServicePointer &Service : services())
    Service->tick(Now, Wakeups);
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
