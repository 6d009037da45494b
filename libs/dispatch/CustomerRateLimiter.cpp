#include "dispatch/CustomerRateLimiter.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace lychee::dispatch {

namespace {

/// Half of the burst capacity is divided evenly between regions, since bursts
/// are random; a region gets at most this multiple of its share of the rate
/// from it.
constexpr double MaxBurstShareRatio = 4;
/// Share of the tokens that the region's bucket may hold that is kept for
/// retries that are due; new requests keep as many.
constexpr double MaxReservedShare = 0.5;

/// \returns the hosts of this one's region that may own tokens.
std::vector<const members::HostDescriptor *>
ownerCandidates(const FleetDemand &Fleet) {
  std::vector<const members::HostDescriptor *> Result;
  if (Fleet.IsServing_)
    Result.push_back(&Fleet.Self_);
  for (const members::HostView &Other : Fleet.OtherHosts_)
    if (Other.Alive_ && Other.Ready_ && !Other.Leaving_ &&
        Other.Descriptor_.Region_ == Fleet.Self_.Region_)
      Result.push_back(&Other.Descriptor_);
  return Result;
}

} // namespace

void CustomerRateLimiter::setCustomers(
    std::span<const live::CustomerRule> Customers, base::TimePoint Now) {
  std::map<base::CustomerId, CustomerState> Next;
  for (const live::CustomerRule &Rule : Customers) {
    CustomerState State;
    State.RegionBucket_ = RateBucket(Now);
    State.BackupBucket_ = RateBucket(Now);
    State.FallbackBucket_ = RateBucket(Now);
    if (const auto Old = Customers_.find(Rule.Id_); Old != Customers_.end())
      State = std::move(Old->second);
    if (State.Owner_.empty())
      State.RegionBucket_.refill(State.regionRate(), State.MaxRegionTokens_,
                                 Now);
    State.Rate_ = Rule.RatePerSecond_;
    State.Burst_ = Rule.Burst_;
    Next.emplace(Rule.Id_, std::move(State));
  }
  Customers_ = std::move(Next);
}

double
CustomerRateLimiter::totalCapacity(const CustomerState &State) const noexcept {
  const double AllowedInWindow =
      State.Rate_ * base::toSeconds(Bounds_.RateWindow_) + State.Burst_;
  return State.Burst_ * UsedShare +
         UsedSlackShare *
             (AllowedInWindow * Bounds_.RateOverage_ + Bounds_.RateSlack_);
}

std::map<base::CustomerId, CustomerRateLimiter::ReportedDemand>
CustomerRateLimiter::sumDemands(const FleetDemand &Fleet) {
  std::map<base::CustomerId, ReportedDemand> Sums;
  for (const members::HostView &Other : Fleet.OtherHosts_) {
    if (!Other.HoldsShare_)
      continue;
    const bool IsSameRegion =
        Other.Alive_ && Other.Descriptor_.Region_ == Fleet.Self_.Region_;
    for (const members::CustomerDemand &Demand : Other.Demands_) {
      ReportedDemand &Sum = Sums[Demand.Customer_];
      Sum.Total_ += Demand.RequestsPerSecond_;
      Sum.Region_ += IsSameRegion ? Demand.RequestsPerSecond_ : 0;
    }
  }
  for (const members::RegionView &Region : Fleet.OtherRegions_)
    if (Region.HoldsShare_)
      for (const members::CustomerDemand &Demand : Region.Demands_)
        Sums[Demand.Customer_].Total_ += Demand.RequestsPerSecond_;
  return Sums;
}

void CustomerRateLimiter::selectOwner(
    CustomerState &State, std::uint64_t Hash,
    std::span<const members::HostDescriptor *const> Candidates,
    const std::string &Self) {
  const members::HostDescriptor *First = nullptr;
  const members::HostDescriptor *Second = nullptr;
  std::uint64_t Highest = 0;
  std::uint64_t SecondHighest = 0;
  for (const members::HostDescriptor *Candidate : Candidates) {
    const std::uint64_t Score = base::stableHash(Candidate->Host_.name(), Hash);
    if (First == nullptr || Score > Highest) {
      Second = std::exchange(First, Candidate);
      SecondHighest = std::exchange(Highest, Score);
    } else if (Second == nullptr || Score > SecondHighest) {
      Second = Candidate;
      SecondHighest = Score;
    }
  }
  const auto AddressOf = [&Self](const members::HostDescriptor *Candidate) {
    return Candidate == nullptr || Candidate->Address_ == Self
               ? std::string()
               : Candidate->Address_;
  };
  State.Owner_ = AddressOf(First);
  State.BackupOwner_ = AddressOf(Second);
}

void CustomerRateLimiter::updateShare(CustomerState &State,
                                      const ReportedDemand &Others,
                                      const FleetDemand &Fleet,
                                      base::TimePoint Now) const {
  const double Even =
      1.0 / static_cast<double>(std::max<std::size_t>(1, Fleet.RegionCount_));
  const double MinDemand =
      std::min(MinRegionDemand, State.Rate_ * MinRegionDemandShare);
  const double OwnNow = State.Demand_.perSecond(Now);
  State.HostDemand_.record(OwnNow, Now);
  State.RegionDemand_.record(OwnNow + Others.Region_, Now);
  State.FleetDemand_ = OwnNow + Others.Total_;
  const double Own = State.HostDemand_.valueAt(Now - PropagationDelay);
  const double Region = State.RegionDemand_.valueAt(Now - PropagationDelay);
  const double Sum = Region + Others.Total_ - Others.Region_ +
                     MinDemand * static_cast<double>(Fleet.RegionCount_);
  State.RegionShare_ = Sum > 0 ? (Region + MinDemand) / Sum : Even;
  State.HostShare_ = Sum > 0 ? Own / Sum : 0;
  if (Now - Start_ < StartupTime)
    State.RegionShare_ = std::min(State.RegionShare_, Even * StartupShare);
  State.MaxRegionTokens_ = std::max(
      1.0, totalCapacity(State) *
               (State.RegionShare_ +
                std::min(Even, State.RegionShare_ * MaxBurstShareRatio)) /
               2);
}

void CustomerRateLimiter::limitToHostShare(CustomerState &State,
                                           base::TimePoint Now) noexcept {
  if (!State.Owner_.empty() || State.RegionShare_ <= State.HostShare_)
    return;
  State.RegionBucket_.refill(State.regionRate(), State.MaxRegionTokens_, Now);
  State.MaxRegionTokens_ = std::max(
      1.0, State.MaxRegionTokens_ * State.HostShare_ / State.RegionShare_);
  State.RegionShare_ = State.HostShare_;
}

void CustomerRateLimiter::redistribute(const FleetDemand &Fleet,
                                       base::TimePoint Now) {
  if (Fleet.IsCutOff_) {
    for (auto &[Customer, State] : Customers_) {
      limitToHostShare(State, Now);
      State.FleetDemand_ = State.Demand_.perSecond(Now);
    }
    return;
  }
  const std::map<base::CustomerId, ReportedDemand> Sums = sumDemands(Fleet);
  const std::vector<const members::HostDescriptor *> Candidates =
      ownerCandidates(Fleet);
  for (auto &[Customer, State] : Customers_) {
    if (State.Owner_.empty())
      State.RegionBucket_.refill(State.regionRate(), State.MaxRegionTokens_,
                                 Now);
    const auto Sum = Sums.find(Customer);
    updateShare(State, Sum == Sums.end() ? ReportedDemand() : Sum->second,
                Fleet, Now);
    selectOwner(State, base::stableHash(Customer.name()), Candidates,
                Fleet.Self_.Address_);
    // Tokens that another host owns now are no longer this one's to grant.
    if (!State.Owner_.empty()) {
      State.RegionBucket_ = RateBucket(Now);
      State.Returns_ = {};
    }
  }
}

RateLimitDecision
CustomerRateLimiter::take(const base::CustomerId &Customer, base::TimePoint Now,
                          const std::optional<members::ReturnTerms> &Return) {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return {};
  CustomerState &State = Found->second;
  State.Demand_.add(1, Now);
  if (State.Rate_ <= 0)
    return {};
  if (!State.Owner_.empty())
    return {RateLimitDecision::Kind::AskOwner,
            {},
            State.Owner_,
            State.BackupOwner_};
  if (Return) {
    const auto Position = takePaced(State, *Return, Now);
    return Position ? RateLimitDecision{RateLimitDecision::Kind::Denied,
                                        Position->Wait_,
                                        {},
                                        {},
                                        Position->Ahead_}
                    : RateLimitDecision();
  }
  if (const auto Wait = takeForPeer(Customer, Now))
    return {RateLimitDecision::Kind::Denied, *Wait, {}, {}};
  return {};
}

std::optional<admission::ReturnPosition>
CustomerRateLimiter::takePaced(CustomerState &State,
                               const members::ReturnTerms &Return,
                               base::TimePoint Now) {
  const double PerSecond = State.regionRate();
  State.RegionBucket_.refill(PerSecond, State.MaxRegionTokens_, Now);
  const bool IsExpected = Return.IsRetry_ && State.Returns_.claim(Now);
  // With a single token for all, new requests would never get one.
  const double Reserved =
      IsExpected
          ? 0
          : std::min<double>(State.Returns_.expected(Now),
                             (State.MaxRegionTokens_ - 1) * MaxReservedShare);
  const auto Wait = State.RegionBucket_.take(PerSecond, Reserved);
  if (!Wait)
    return std::nullopt;
  const admission::ReturnWindow Window{Return.InTime_, Return.Latest_};
  // Callers retry once, so one that did needs no position.
  const auto Position =
      Return.IsRetry_ ? State.Returns_.find(Window, PerSecond, *Wait, Now)
                      : State.Returns_.book(Window, PerSecond, *Wait, Now);
  return Position.value_or(admission::ReturnPosition());
}

void CustomerRateLimiter::refund(const base::CustomerId &Customer) {
  const auto Found = Customers_.find(Customer);
  // Another host may own the tokens by now.
  if (Found != Customers_.end() && Found->second.Rate_ > 0 &&
      Found->second.Owner_.empty())
    Found->second.RegionBucket_.refund();
}

std::optional<base::Duration> CustomerRateLimiter::takeForPeer(
    const base::CustomerId &Customer, base::TimePoint Now,
    const std::optional<members::ReturnTerms> &Return) {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end() || Found->second.Rate_ <= 0)
    return std::nullopt;
  CustomerState &State = Found->second;
  const bool IsOwner = State.Owner_.empty();
  if (IsOwner && Return) {
    const auto Position = takePaced(State, *Return, Now);
    return Position ? std::optional(Position->Wait_) : std::nullopt;
  }
  const double PerSecond = State.regionRate() * (IsOwner ? 1 : BackupShare);
  RateBucket &Bucket = IsOwner ? State.RegionBucket_ : State.BackupBucket_;
  Bucket.refill(PerSecond, IsOwner ? State.MaxRegionTokens_ : MaxBackupTokens,
                Now);
  return Bucket.take(PerSecond);
}

std::optional<base::Duration>
CustomerRateLimiter::takeFallback(const base::CustomerId &Customer,
                                  base::TimePoint Now) {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return std::nullopt;
  CustomerState &State = Found->second;
  if (Now - State.FallbackBucket_.refilledAt() > FallbackResetTime)
    State.FallbackBucket_ = RateBucket(Now);
  const double PerSecond = State.Rate_ * State.HostShare_ * FallbackShare;
  State.FallbackBucket_.refill(PerSecond, MaxFallbackTokens, Now);
  return State.FallbackBucket_.take(PerSecond);
}

std::optional<double>
CustomerRateLimiter::fleetDemand(const base::CustomerId &Customer) const {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return std::nullopt;
  const CustomerState &State = Found->second;
  return State.Rate_ > 0 ? std::min(State.FleetDemand_, State.Rate_)
                         : State.FleetDemand_;
}

std::vector<members::CustomerDemand>
CustomerRateLimiter::demands(base::TimePoint Now) {
  std::vector<members::CustomerDemand> Result;
  for (auto &[Customer, State] : Customers_) {
    const double PerSecond = State.Demand_.perSecond(Now);
    if (PerSecond >= 0.05)
      Result.push_back({Customer, PerSecond});
  }
  return Result;
}

} // namespace lychee::dispatch
