#include "scenario/FleetStrategy.h"

namespace lychee::scenario {

void FleetStrategy::start(PeerNetwork Peers, std::uint64_t Seed,
                          base::TimePoint Now) {
  Peers_ = std::move(Peers);
  Seed_ = Seed;
  Now_ = Now;
  LeasesEnd_ = Now;
  Hosts_.resize(Peers_.Hosts_);
  Rates_.resize(Peers_.Hosts_);
  Plain_.resize(Peers_.Hosts_);
  Offers_.resize(Peers_.Hosts_);
  for (auto &Heard : Offers_)
    Heard.resize(Peers_.Hosts_);
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    begin(Host);
  changeMembers(Now);
}

void FleetStrategy::begin(std::size_t Host) {
  steering::SteeringSettings Settings;
  Settings.Host_ = Peers_.Name_(Host);
  Settings.Region_ = Peers_.Region_(Host);
  Settings.Seed_ = Seed_ * 1000 + Host;
  if (Rules_.OneLine_)
    Settings.Limits_ = firstComeFirstServed();
  Rates_[Host] = std::make_unique<budget::RateBudgets>(Settings.Host_);
  Settings.Rates_ = Rates_[Host].get();
  Hosts_[Host] = std::make_unique<steering::FleetSteering>(Settings);
  if (Rules_.LocalOnly_ || Rules_.OneLine_)
    Plain_[Host] = std::make_unique<PlainSteering>(
        *Hosts_[Host], Rules_.LocalOnly_,
        Rules_.OneLine_ ? Rates_[Host].get() : nullptr);
  // The played hosts' time of day is their monotonic time.
  Hosts_[Host]->setWallTime(base::WallPoint(Now_.time_since_epoch()), Now_);
}

steering::ServiceLimits FleetStrategy::firstComeFirstServed() {
  constexpr base::Duration Never = std::chrono::hours(1);
  steering::ServiceLimits Limits;
  Limits.Admission_.SaturationWindow_ = Never;
  Limits.Admission_.SaturatedMaxWait_ = Never;
  Limits.Admission_.NewestFirst_ = false;
  return Limits;
}

steering::Steering &FleetStrategy::steering(std::size_t Host) {
  if (Plain_[Host])
    return *Plain_[Host];
  return *Hosts_[Host];
}

void FleetStrategy::applyIntent(std::size_t Host,
                                std::shared_ptr<const settings::Intent> Intent,
                                base::TimePoint Now) {
  if (!Rules_.OneLine_)
    return Hosts_[Host]->applyIntent(Intent, Now);
  // The one customer's rate is no bound: each one's own was checked before.
  constexpr double NoBound = 1e6;
  auto Changed = std::make_shared<settings::Intent>(*Intent);
  const base::CustomerId Id(PlainSteering::Everyone);
  settings::Customer &All = Changed->Customers_[Id];
  All.Id_ = Id;
  All.RatePerSecond_ = NoBound;
  All.Burst_ = NoBound;
  Hosts_[Host]->applyIntent(Changed, Now);
}

void FleetStrategy::report(std::size_t Host, const LoadReport &Heard,
                           base::TimePoint) {
  Hosts_[Host]->reportTargetLoad(Heard.Service_, Heard.Target_, Heard.Load_,
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
    if (!Rules_.Exchange_)
      continue;
    askForSlots(From, Now);
    exchangeRates(From, Now);
  }
}

void FleetStrategy::tellPeers(std::size_t From, base::TimePoint Now) {
  const auto Round = std::make_shared<const steering::HostLoadUpdate>(
      Hosts_[From]->makeLoadUpdate(Now));
  const auto Suspects =
      std::make_shared<const std::vector<retrying::CrashEvidence>>(
          Hosts_[From]->crashSuspects().evidence(Now));
  const auto Offers = std::make_shared<const std::vector<budget::SpareOffer>>(
      Rates_[From]->offers(Now));
  for (std::size_t To = 0; To < Hosts_.size(); ++To)
    if (To != From)
      Peers_.Send_(From, To, [this, From, To, Now, Round, Suspects, Offers] {
        auto &Heard = Offers_[To][From];
        Heard.clear();
        for (const budget::SpareOffer &Each : *Offers)
          Heard[Each.Budget_] = Each;
        Hosts_[To]->receiveLoadUpdate(*Round, Now);
        Hosts_[To]->crashSuspects().merge(*Suspects, Now);
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
  for (const steering::SlotRequest &Ask : Hosts_[From]->slotRequests(Now)) {
    const auto Donor = placeOf(Ask.Donor_);
    if (!Donor)
      continue;
    Peers_.Send_(From, *Donor, [this, From, Place = *Donor, Ask, Now] {
      giveSlots(Place, From, Ask, Now);
    });
  }
}

void FleetStrategy::giveSlots(std::size_t Donor, std::size_t Asker,
                              const steering::SlotRequest &Ask,
                              base::TimePoint Now) {
  const auto Gift = Hosts_[Donor]->grantSlots(Ask, Now);
  if (!Gift)
    return;
  Peers_.Send_(Donor, Asker, [this, Asker, Given = *Gift, Now] {
    std::vector<steering::Wakeup> Woken;
    Hosts_[Asker]->acceptSlots(Given, Now, Woken);
    Peers_.Wake_(Asker, Woken);
  });
}

void FleetStrategy::exchangeRates(std::size_t From, base::TimePoint Now) {
  for (const budget::ShareRequest &Ask : Rates_[From]->dueRequests(Now)) {
    std::optional<std::size_t> Donor;
    budget::SpareOffer Best;
    for (std::size_t Peer = 0; Peer < Hosts_.size(); ++Peer) {
      const auto Found = Offers_[From][Peer].find(Ask.Budget_);
      if (!Peers_.Alive_(Peer) || Found == Offers_[From][Peer].end())
        continue;
      const budget::SpareOffer &Offer = Found->second;
      // One that can spare both is worth more than one with more of either.
      const bool Better = !Donor || std::pair(Offer.Rate_, Offer.Tokens_) >
                                        std::pair(Best.Rate_, Best.Tokens_);
      if (!Better)
        continue;
      Donor = Peer;
      Best = Offer;
    }
    if (!Donor)
      continue;
    Offers_[From][*Donor].erase(Ask.Budget_);
    Peers_.Send_(From, *Donor, [this, From, Place = *Donor, Ask, Now] {
      giveRate(Place, From, Ask, Now);
    });
  }
}

void FleetStrategy::giveRate(std::size_t Donor, std::size_t Asker,
                             const budget::ShareRequest &Ask,
                             base::TimePoint Now) {
  const auto Given = Rates_[Donor]->donate(Ask, Now);
  if (Given)
    Peers_.Send_(Donor, Asker, [this, Asker, Transfer = *Given, Now] {
      Rates_[Asker]->accept(Transfer, Now);
    });
}

void FleetStrategy::changeMembers(base::TimePoint Now) {
  std::vector<steering::Member> Members;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Peers_.Alive_(Host))
      Members.push_back({Peers_.Name_(Host), Peers_.Region_(Host)});
  ++Epoch_;
  Settled_ = false;
  RatesSettled_ = false;
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
    Rates_[Host]->enterEpoch(
        {Epoch_, static_cast<std::uint32_t>(Members.size()), Now + LongLease},
        Now);
  }
}

void FleetStrategy::settle(base::TimePoint Now) {
  if (Now < LeasesEnd_)
    return;
  if (!RatesSettled_) {
    RatesSettled_ = true;
    for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
      if (Peers_.Alive_(Host))
        Rates_[Host]->settle(Epoch_, Now);
  }
  if (Settled_ || !Rules_.Slots_)
    return;
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host)
    if (Peers_.Alive_(Host) && !Hosts_[Host]->conformsToEpoch())
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
