#include "budget/RateBudgets.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace lychee::budget {

namespace {

/// Maximum duration of an exchange with a peer: 20 ms each way between regions,
/// a RequestInterval until the request is due, and a margin for a busy peer.
constexpr double ExchangeSeconds = 0.15;

/// Minimum of tokens that a host keeps for a customer it serves, so that the
/// next request does not wait for a peer.
constexpr std::int64_t MinReserve = 2 * TokensPerRequest;

/// Callers count as having left a host if the recent demand, estimated over
/// RecentTimeConstant, is below this fraction of the usual demand, and if
/// enough arrivals were expected for this to be significant: of ten expected
/// Poisson arrivals, four or fewer occur once in 34 times. Without the second
/// condition hosts donated what a customer's next requests needed
/// (docs/measurements/budget.md).
constexpr double DepartedFraction = 0.4;
constexpr double MinExpectedArrivals = 10;

} // namespace

RateBudgets::RateBudgets(base::HostId Self, ExchangePolicy Policy)
    : Self_(std::move(Self)), Policy_(Policy) {}

RateBudgets::Shard &RateBudgets::shardOf(std::string_view Budget) noexcept {
  return Shards_[base::stableHash(Budget) % ShardCount];
}

void RateBudgets::applyEpoch(Entry &BudgetEntry, const EpochLease &Lease,
                             bool Settled, base::TimePoint Now) const {
  BudgetEntry.Share_.enterEpoch(Lease.Epoch_, equalShare(Lease.Hosts_),
                                Lease.LeaseUntil_, Now);
  if (Settled)
    BudgetEntry.Share_.settle(Lease.Epoch_, Now);
}

void RateBudgets::setTotal(std::string_view Budget, const RateTotal &Total,
                           base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  Shard &Home = shardOf(Budget);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Budget);
  if (Found != Home.Entries_.end()) {
    Found->second.Share_.setTotal(Total, Now);
    return;
  }
  Entry Added(RateShare(std::string(Budget), Self_, Total, Now));
  applyEpoch(Added, Lease_, Settled_, Now);
  Home.Entries_.emplace(Budget, std::move(Added));
}

void RateBudgets::enterEpoch(const EpochLease &Lease, base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Lease.Epoch_ <= Lease_.Epoch_)
    return;
  Lease_ = Lease;
  Settled_ = false;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, BudgetEntry] : Each.Entries_)
      applyEpoch(BudgetEntry, Lease, false, Now);
  }
}

void RateBudgets::settle(std::uint64_t Epoch, base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Epoch != Lease_.Epoch_ || Settled_)
    return;
  Settled_ = true;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, BudgetEntry] : Each.Entries_)
      BudgetEntry.Share_.settle(Epoch, Now);
  }
}

void RateBudgets::renewLease(std::uint64_t Epoch, base::TimePoint Until,
                             base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Epoch != Lease_.Epoch_)
    return;
  Lease_.LeaseUntil_ = std::max(Lease_.LeaseUntil_, Until);
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, BudgetEntry] : Each.Entries_)
      BudgetEntry.Share_.renewLease(Epoch, Until, Now);
  }
}

SpendOutcome RateBudgets::spend(std::string_view Budget, base::TimePoint Now) {
  return spendFrom(Budget, true, Now);
}

SpendOutcome RateBudgets::retrySpend(std::string_view Budget,
                                     base::TimePoint Now) {
  return spendFrom(Budget, false, Now);
}

SpendOutcome RateBudgets::spendFrom(std::string_view Budget, bool IsDemand,
                                    base::TimePoint Now) {
  Shard &Home = shardOf(Budget);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Budget);
  if (Found == Home.Entries_.end())
    return {SpendResult::NoShare, base::Duration::max()};
  Entry &BudgetEntry = Found->second;
  if (IsDemand)
    BudgetEntry.Demand_.record(1, Now);
  BudgetEntry.Recent_.record(1, Now);
  const SpendResult Result = BudgetEntry.Share_.spend(TokensPerRequest, Now);
  if (Result == SpendResult::Granted)
    return {Result, base::Duration::zero()};
  return {Result, BudgetEntry.Share_.timeUntil(TokensPerRequest, Now)};
}

ShareState RateBudgets::demandState(Entry &BudgetEntry,
                                    base::TimePoint Now) const noexcept {
  return shareState(BudgetEntry,
                    std::max(BudgetEntry.Demand_.ratePerSecond(Now),
                             BudgetEntry.Recent_.ratePerSecond(Now)),
                    Now);
}

ShareState RateBudgets::spareState(Entry &BudgetEntry,
                                   base::TimePoint Now) const noexcept {
  const double Usual = BudgetEntry.Demand_.ratePerSecond(Now);
  const double Recent = BudgetEntry.Recent_.ratePerSecond(Now);
  const bool IsSignificant =
      Usual * base::toSeconds(RecentTimeConstant) >= MinExpectedArrivals;
  const bool CallersLeft = IsSignificant && Recent < Usual * DepartedFraction;
  return shareState(BudgetEntry, CallersLeft ? Recent : std::max(Usual, Recent),
                    Now);
}

ShareState RateBudgets::shareState(Entry &BudgetEntry, double RequestsPerSecond,
                                   base::TimePoint Now) const noexcept {
  ShareState State;
  State.Held_ = BudgetEntry.Share_.share().usable(Now);
  const double TotalRate =
      static_cast<double>(BudgetEntry.Share_.total().MicroRequestsPerSecond_) *
      1e-6;
  if (TotalRate > 0)
    State.Demand_ =
        static_cast<Parts>(std::min(RequestsPerSecond / TotalRate, 1.0) *
                           static_cast<double>(TotalParts));
  State.Level_ = BudgetEntry.Share_.level(Now);
  State.Burst_ = BudgetEntry.Share_.total().Burst_;
  const double NearTermRequests =
      std::min(RequestsPerSecond, TotalRate) * ExchangeSeconds;
  State.NearTermDemand_ =
      RequestsPerSecond < 0.01
          ? 0
          : MinReserve +
                static_cast<std::int64_t>(
                    NearTermRequests * static_cast<double>(TokensPerRequest));
  State.NearTermDemand_ = std::min(State.NearTermDemand_, State.Burst_);
  return State;
}

std::optional<ShareRequest> RateBudgets::makeRequest(std::string_view Budget,
                                                     Entry &BudgetEntry,
                                                     base::TimePoint Now) {
  if (!BudgetEntry.Share_.share().settled() ||
      Now < BudgetEntry.LastRequest_ + RequestInterval)
    return std::nullopt;
  ShareState State = demandState(BudgetEntry, Now);
  State.Hosts_ = Lease_.Hosts_;
  const ExchangeAmount Wanted = Policy_.amountToRequest(State);
  if (Wanted.isEmpty())
    return std::nullopt;
  BudgetEntry.LastRequest_ = Now;
  ShareRequest Request;
  Request.Budget_ = Budget;
  Request.Epoch_ = BudgetEntry.Share_.share().epoch();
  Request.Requester_ = Self_;
  Request.Rate_ = Wanted.Parts_.Rate_;
  Request.Tokens_ = Wanted.Tokens_;
  return Request;
}

std::optional<ShareRequest> RateBudgets::requestFor(std::string_view Budget,
                                                    base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  Shard &Home = shardOf(Budget);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Budget);
  if (Found == Home.Entries_.end())
    return std::nullopt;
  return makeRequest(Budget, Found->second, Now);
}

std::vector<ShareRequest> RateBudgets::dueRequests(base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  std::vector<ShareRequest> Due;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, BudgetEntry] : Each.Entries_)
      if (std::optional<ShareRequest> Request =
              makeRequest(Name, BudgetEntry, Now))
        Due.push_back(std::move(*Request));
  }
  return Due;
}

std::optional<Transfer> RateBudgets::donate(const ShareRequest &Request,
                                            base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  Shard &Home = shardOf(Request.Budget_);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Request.Budget_);
  if (Found == Home.Entries_.end())
    return std::nullopt;
  Entry &BudgetEntry = Found->second;
  if (BudgetEntry.Share_.share().epoch() != Request.Epoch_)
    return std::nullopt;
  ShareState State = spareState(BudgetEntry, Now);
  State.Hosts_ = Lease_.Hosts_;
  const ExchangeAmount Granted =
      Policy_.amountToGrant(State, Request.Rate_, Request.Tokens_);
  if (Granted.isEmpty())
    return std::nullopt;
  return BudgetEntry.Share_.donate(Request.Requester_, Granted.Parts_,
                                   Granted.Tokens_, Now);
}

bool RateBudgets::accept(const Transfer &Received, base::TimePoint Now) {
  Shard &Home = shardOf(Received.Budget_);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Received.Budget_);
  if (Found == Home.Entries_.end())
    return false;
  return Found->second.Share_.accept(Received, Now);
}

std::vector<SpareOffer> RateBudgets::offers(base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  std::vector<SpareOffer> Offers;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, BudgetEntry] : Each.Entries_) {
      ShareState State = spareState(BudgetEntry, Now);
      State.Hosts_ = Lease_.Hosts_;
      SpareOffer Offer{Name, Policy_.spareRate(State),
                       Policy_.spareTokens(State)};
      if (Offer.Rate_ > 0 || Offer.Tokens_ > 0)
        Offers.push_back(std::move(Offer));
    }
  }
  return Offers;
}

} // namespace lychee::budget
