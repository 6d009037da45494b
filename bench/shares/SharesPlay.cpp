#include "shares/SharesPlay.h"

#include <algorithm>
#include <cmath>

namespace lychee::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Budget = "customer";
constexpr std::size_t HostCount = 10;
constexpr std::size_t RegionCount = 3;
constexpr double Rate = 200;
constexpr double Burst = 100;
constexpr double Load = 0.8;
constexpr base::Duration Step = milliseconds(1);
constexpr base::Duration Length = seconds(120);
constexpr base::Duration MoveEvery = seconds(10);
constexpr base::Duration ReportEvery = milliseconds(250);
constexpr base::Duration AskEvery = milliseconds(10);
/// As steering lets a request wait for tokens of peers.
constexpr base::Duration Patience = milliseconds(100);
constexpr base::Duration LeaseLength = seconds(15);
constexpr std::size_t OwnerHost = 7;

} // namespace

SharesPlay::SharesPlay(Division How, std::uint64_t Seed)
    : How_(How), Random_(Seed), Alive_(HostCount, true), Reference_(Now_),
      Owner_(Now_), MovesAt_(Now_ + MoveEvery) {
  const budget::RateTotal Total = budget::RateTotal::fromRequests(Rate, Burst);
  Reference_.setLimits(Total.MicroRequestsPerSecond_, Total.Burst_, Now_);
  Reference_.add(Total.Burst_, Now_);
  Owner_.setLimits(Total.MicroRequestsPerSecond_, Total.Burst_, Now_);
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    Names_.emplace_back("host-" + std::to_string(Host));
    Books_.push_back(std::make_unique<budget::RateBudgets>(Names_.back()));
    Offers_.push_back(std::make_unique<exchange::SpareOfferTable>());
    Books_.back()->setTotal(Budget, Total, Now_);
    Books_.back()->enterEpoch({1, HostCount, Now_ + 2 * Length}, Now_);
    Books_.back()->settle(1, Now_);
  }
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    std::vector<base::HostId> Others = Names_;
    std::erase(Others, Names_[Host]);
    Offers_[Host]->setPeers(Others);
  }
}

base::Duration SharesPlay::delayBetween(std::size_t Left,
                                        std::size_t Right) const {
  if (Left == Right)
    return base::Duration(0);
  const bool SameRegion = Left % RegionCount == Right % RegionCount;
  return SameRegion ? std::chrono::microseconds(500) : milliseconds(20);
}

void SharesPlay::post(base::Duration After, std::function<void()> Deliver) {
  ++Result_.Messages_;
  Messages_.emplace(Now_ + After, std::move(Deliver));
}

void SharesPlay::deliverDue() {
  while (!Messages_.empty() && Messages_.begin()->first <= Now_) {
    const std::function<void()> Deliver = std::move(Messages_.begin()->second);
    Messages_.erase(Messages_.begin());
    Deliver();
  }
}

void SharesPlay::letIn(base::TimePoint Since) {
  if (!Reference_.take(budget::TokensPerRequest, Now_))
    ++Result_.Over_;
  Result_.Waits_.push_back(base::toSeconds(Now_ - Since) * 1000);
}

void SharesPlay::refuse() {
  ++Result_.Refused_;
  if (Reference_.level(Now_) >= budget::TokensPerRequest)
    ++Result_.Wrongful_;
}

bool SharesPlay::spendAt(std::size_t Host) {
  return Books_[Host]->spend(Budget, Now_).Result_ ==
         budget::SpendResult::Granted;
}

void SharesPlay::askOwner(std::size_t Host, base::TimePoint Since) {
  if (Now_ < OwnerBackAt_)
    return refuse();
  post(delayBetween(Host, OwnerHost), [this, Host, Since] {
    const bool Granted =
        Now_ >= OwnerBackAt_ && Owner_.take(budget::TokensPerRequest, Now_);
    post(delayBetween(Host, OwnerHost), [this, Granted, Since] {
      if (Granted)
        letIn(Since);
      else
        refuse();
    });
  });
}

void SharesPlay::arrive(std::size_t Host) {
  ++Result_.Asked_;
  if (How_ == Division::SingleOwner)
    return askOwner(Host, Now_);
  if (spendAt(Host))
    return letIn(Now_);
  if (How_ == Division::StaticEqual)
    return refuse();
  Waiting_.push_back({Host, Now_});
}

void SharesPlay::settleWaiting() {
  std::deque<Waiting> Still;
  for (const Waiting &Each : Waiting_) {
    if (Now_ - Each.Since_ >= Patience)
      refuse();
    else if (spendAt(Each.Host_))
      letIn(Each.Since_);
    else
      Still.push_back(Each);
  }
  Waiting_.swap(Still);
}

void SharesPlay::exchange() {
  const bool Report =
      Now_.time_since_epoch() % ReportEvery == base::Duration(0);
  for (std::size_t From = 0; From < HostCount; ++From) {
    if (!Alive_[From])
      continue;
    if (Report) {
      const auto Told = Books_[From]->offers(Now_);
      for (std::size_t To = 0; To < HostCount; ++To)
        if (To != From)
          post(delayBetween(From, To), [this, From, To, Told] {
            Offers_[To]->update(Names_[From], Told, Now_);
          });
    }
    for (const budget::ShareRequest &Asked : Books_[From]->dueRequests(Now_)) {
      for (const base::HostId &Donor :
           Offers_[From]->takeDonors(Asked, Now_, Random_))
        ask(From, Donor, Asked);
    }
  }
}

void SharesPlay::ask(std::size_t From, const base::HostId &Donor,
                     const budget::ShareRequest &Asked) {
  const auto Place = static_cast<std::size_t>(
      std::find(Names_.begin(), Names_.end(), Donor) - Names_.begin());
  post(delayBetween(From, Place), [this, From, Place, Asked] {
    if (!Alive_[Place])
      return;
    const auto Given = Books_[Place]->donate(Asked, Now_);
    if (Given)
      post(delayBetween(From, Place),
           [this, From, Given] { Books_[From]->accept(*Given, Now_); });
  });
}

std::size_t SharesPlay::homeNow() {
  while (Now_ >= MovesAt_ || !Alive_[Home_]) {
    Home_ = base::drawBelow(Random_, HostCount);
    MovesAt_ = std::max(MovesAt_, Now_ + MoveEvery);
  }
  return Home_;
}

/// The owner for SingleOwner; for shares the same host, whose parts are lost
/// until the next epoch settles, a lease's length later.
void SharesPlay::loseAHost() {
  Alive_[OwnerHost] = false;
  OwnerBackAt_ = Now_ + LeaseLength;
  SettlesAt_ = Now_ + LeaseLength;
}

SharesResult SharesPlay::play() {
  const base::TimePoint Start = Now_;
  const base::TimePoint End = Now_ + Length;
  base::TimePoint NextArrival = Now_;
  while (Now_ < End) {
    Now_ += Step;
    deliverDue();
    if (Alive_[OwnerHost] && Now_ - Start >= Length / 2)
      loseAHost();
    if (SettlesAt_ != base::TimePoint() && Now_ >= SettlesAt_) {
      SettlesAt_ = base::TimePoint();
      for (std::size_t Host = 0; Host < HostCount; ++Host) {
        Books_[Host]->enterEpoch({2, HostCount - 1, End + Length}, Now_);
        Books_[Host]->settle(2, Now_);
      }
    }
    if (How_ == Division::Shares &&
        Now_.time_since_epoch() % AskEvery == base::Duration(0))
      exchange();
    settleWaiting();
    while (NextArrival <= Now_) {
      arrive(homeNow());
      NextArrival += base::fromSeconds(-std::log(1 - base::drawUnit(Random_)) /
                                       (Rate * Load));
    }
  }
  return Result_;
}

} // namespace lychee::bench
