#include "budget/RateBudgets.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace lychee::budget {

namespace {

/// Longest time that an exchange with a peer takes: 20 ms each way between
/// regions, an AskInterval until the ask is due, and a margin for a busy peer.
constexpr double ExchangeSeconds = 0.15;

/// Tokens that a host keeps at the least for a customer it serves: the next
/// request must not wait for a peer.
constexpr std::int64_t FewTokens = 2 * TokensPerRequest;

/// Callers have left a host where less than this part of the usual demand came
/// within RecentMemory, and where enough usually comes for that to mean
/// something: of ten expected Poisson arrivals four or fewer come once in 34
/// times. Without the second bound hosts gave away what a customer's next
/// requests needed (docs/measurements/budget.md, round 4).
constexpr double LeftShare = 0.4;
constexpr double MeaningfulArrivals = 10;

} // namespace

RateBudgets::RateBudgets(base::HostId Self, ExchangePolicy Policy)
    : Self_(std::move(Self)), Policy_(Policy) {}

RateBudgets::Shard &RateBudgets::shardOf(std::string_view Budget) noexcept {
  return Shards_[base::stableHash(Budget) % ShardCount];
}

void RateBudgets::joinEpoch(Entry &Of, const EpochGrant &Grant, bool Settled,
                            base::TimePoint Now) const {
  Of.Share_.enterEpoch(Grant.Epoch_, equalShare(Grant.Hosts_),
                       Grant.LeaseUntil_, Now);
  if (Settled)
    Of.Share_.settle(Grant.Epoch_, Now);
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
  Entry Fresh(RateShare(std::string(Budget), Self_, Total, Now));
  joinEpoch(Fresh, Grant_, Settled_, Now);
  Home.Entries_.emplace(Budget, std::move(Fresh));
}

void RateBudgets::enterEpoch(const EpochGrant &Grant, base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Grant.Epoch_ <= Grant_.Epoch_)
    return;
  Grant_ = Grant;
  Settled_ = false;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, Of] : Each.Entries_)
      joinEpoch(Of, Grant, false, Now);
  }
}

void RateBudgets::settle(std::uint64_t Epoch, base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Epoch != Grant_.Epoch_ || Settled_)
    return;
  Settled_ = true;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, Of] : Each.Entries_)
      Of.Share_.settle(Epoch, Now);
  }
}

void RateBudgets::renewLease(std::uint64_t Epoch, base::TimePoint Until,
                             base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  if (Epoch != Grant_.Epoch_)
    return;
  Grant_.LeaseUntil_ = std::max(Grant_.LeaseUntil_, Until);
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, Of] : Each.Entries_)
      Of.Share_.renewLease(Epoch, Until, Now);
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
  Entry &Of = Found->second;
  if (IsDemand)
    Of.Demand_.note(1, Now);
  Of.Recent_.note(1, Now);
  const SpendResult Result = Of.Share_.spend(TokensPerRequest, Now);
  if (Result == SpendResult::Granted)
    return {Result, base::Duration::zero()};
  return {Result, Of.Share_.timeUntil(TokensPerRequest, Now)};
}

ShareState RateBudgets::needOf(Entry &Of, base::TimePoint Now) const noexcept {
  return stateOf(
      Of,
      std::max(Of.Demand_.ratePerSecond(Now), Of.Recent_.ratePerSecond(Now)),
      Now);
}

ShareState RateBudgets::spareOf(Entry &Of, base::TimePoint Now) const noexcept {
  const double Usual = Of.Demand_.ratePerSecond(Now);
  const double Recent = Of.Recent_.ratePerSecond(Now);
  const bool IsMeaningful =
      Usual * base::toSeconds(RecentMemory) >= MeaningfulArrivals;
  const bool HaveLeft = IsMeaningful && Recent < Usual * LeftShare;
  return stateOf(Of, HaveLeft ? Recent : std::max(Usual, Recent), Now);
}

ShareState RateBudgets::stateOf(Entry &Of, double PerSecond,
                                base::TimePoint Now) const noexcept {
  ShareState State;
  State.Held_ = Of.Share_.share().usable(Now);
  const double TotalRate =
      static_cast<double>(Of.Share_.total().MicroRequestsPerSecond_) * 1e-6;
  if (TotalRate > 0)
    State.Demand_ = static_cast<Parts>(std::min(PerSecond / TotalRate, 1.0) *
                                       static_cast<double>(TotalParts));
  State.Level_ = Of.Share_.level(Now);
  State.Burst_ = Of.Share_.total().Burst_;
  const double SoonRequests = std::min(PerSecond, TotalRate) * ExchangeSeconds;
  State.Soon_ = PerSecond < 0.01
                    ? 0
                    : FewTokens + static_cast<std::int64_t>(
                                      SoonRequests *
                                      static_cast<double>(TokensPerRequest));
  State.Soon_ = std::min(State.Soon_, State.Burst_);
  return State;
}

std::optional<ShareRequest>
RateBudgets::makeAsk(std::string_view Budget, Entry &Of, base::TimePoint Now) {
  if (!Of.Share_.share().settled() || Now < Of.LastAsk_ + AskInterval)
    return std::nullopt;
  ShareState State = needOf(Of, Now);
  State.Hosts_ = Grant_.Hosts_;
  const ExchangeAmount Wanted = Policy_.wanted(State);
  if (Wanted.isNothing())
    return std::nullopt;
  Of.LastAsk_ = Now;
  ShareRequest Made;
  Made.Budget_ = Budget;
  Made.Epoch_ = Of.Share_.share().epoch();
  Made.Requester_ = Self_;
  Made.Rate_ = Wanted.Parts_.Rate_;
  Made.Tokens_ = Wanted.Tokens_;
  return Made;
}

std::optional<ShareRequest> RateBudgets::askFor(std::string_view Budget,
                                                base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  Shard &Home = shardOf(Budget);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Budget);
  if (Found == Home.Entries_.end())
    return std::nullopt;
  return makeAsk(Budget, Found->second, Now);
}

std::vector<ShareRequest> RateBudgets::dueRequests(base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  std::vector<ShareRequest> Due;
  for (Shard &Each : Shards_) {
    const std::scoped_lock Guard(Each.Lock_);
    for (auto &[Name, Of] : Each.Entries_)
      if (std::optional<ShareRequest> Made = makeAsk(Name, Of, Now))
        Due.push_back(std::move(*Made));
  }
  return Due;
}

std::optional<Transfer> RateBudgets::donate(const ShareRequest &Asked,
                                            base::TimePoint Now) {
  const std::scoped_lock EpochGuard(EpochLock_);
  Shard &Home = shardOf(Asked.Budget_);
  const std::scoped_lock Guard(Home.Lock_);
  const auto Found = Home.Entries_.find(Asked.Budget_);
  if (Found == Home.Entries_.end())
    return std::nullopt;
  Entry &Of = Found->second;
  if (Of.Share_.share().epoch() != Asked.Epoch_)
    return std::nullopt;
  ShareState State = spareOf(Of, Now);
  State.Hosts_ = Grant_.Hosts_;
  const ExchangeAmount Given =
      Policy_.granted(State, Asked.Rate_, Asked.Tokens_);
  if (Given.isNothing())
    return std::nullopt;
  return Of.Share_.donate(Asked.Requester_, Given.Parts_, Given.Tokens_, Now);
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
    for (auto &[Name, Of] : Each.Entries_) {
      ShareState State = spareOf(Of, Now);
      State.Hosts_ = Grant_.Hosts_;
      SpareOffer Offer{Name, Policy_.spareRate(State),
                       Policy_.spareTokens(State)};
      if (Offer.Rate_ > 0 || Offer.Tokens_ > 0)
        Offers.push_back(std::move(Offer));
    }
  }
  return Offers;
}

} // namespace lychee::budget
