#include "dispatch/CustomerRateLimiter.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace lychee::dispatch {

namespace {

/// Where a rate is next to nothing, waits are still told in seconds.
constexpr double LeastRate = 0.1;
/// A region's part of the room for bursts is at most so many times its part of
/// the rate: half of that room is divided evenly, as bursts are chance.
constexpr double MostBurstPart = 4;

/// Hosts of this one's region that may keep tokens.
std::vector<const members::HostDescriptor *>
keepersOf(const FleetDemand &Fleet) {
  std::vector<const members::HostDescriptor *> Found;
  if (Fleet.Serving_)
    Found.push_back(&Fleet.Self_);
  for (const members::HostView &Each : Fleet.Others_)
    if (Each.Alive_ && Each.Ready_ && !Each.Leaving_ &&
        Each.Descriptor_.Region_ == Fleet.Self_.Region_)
      Found.push_back(&Each.Descriptor_);
  return Found;
}

} // namespace

void CustomerRateLimiter::Bucket::fill(double PerSecond, double Most,
                                       base::TimePoint Now) noexcept {
  Tokens_ =
      std::min(Tokens_ + base::toSeconds(Now - Filled_) * PerSecond, Most);
  Filled_ = Now;
}

std::optional<base::Duration>
CustomerRateLimiter::Bucket::take(double PerSecond) noexcept {
  if (Tokens_ >= 1) {
    Tokens_ -= 1;
    return std::nullopt;
  }
  return base::fromSeconds((1 - Tokens_) / std::max(LeastRate, PerSecond));
}

void CustomerRateLimiter::setCustomers(
    std::span<const live::CustomerRule> Customers, base::TimePoint Now) {
  std::map<base::CustomerId, Share> Next;
  for (const live::CustomerRule &Each : Customers) {
    Share Made;
    Made.Region_.Filled_ = Now;
    Made.Standby_.Filled_ = Now;
    Made.Alone_.Filled_ = Now;
    if (const auto Old = Shares_.find(Each.Id_); Old != Shares_.end())
      Made = std::move(Old->second);
    if (Made.Holder_.empty())
      Made.Region_.fill(Made.regionRate(), Made.Most_, Now);
    Made.Rate_ = Each.RatePerSecond_;
    Made.Burst_ = Each.Burst_;
    Next.emplace(Each.Id_, std::move(Made));
  }
  Shares_ = std::move(Next);
}

double CustomerRateLimiter::allTokens(const Share &Of) const noexcept {
  const double InWindow =
      Of.Rate_ * base::toSeconds(Bounds_.RateWindow_) + Of.Burst_;
  return Of.Burst_ * UsedPart +
         UsedSlack * (InWindow * Bounds_.RateOverage_ + Bounds_.RateSlack_);
}

std::map<base::CustomerId, CustomerRateLimiter::Told>
CustomerRateLimiter::sumOf(const FleetDemand &Fleet) {
  std::map<base::CustomerId, Told> Sums;
  for (const members::HostView &Other : Fleet.Others_) {
    if (!Other.HoldsShare_)
      continue;
    const bool Near =
        Other.Alive_ && Other.Descriptor_.Region_ == Fleet.Self_.Region_;
    for (const members::CustomerDemand &Each : Other.Demands_) {
      Told &Sum = Sums[Each.Customer_];
      Sum.All_ += Each.RequestsPerSecond_;
      Sum.Region_ += Near ? Each.RequestsPerSecond_ : 0;
    }
  }
  for (const members::RegionView &Region : Fleet.Elsewhere_)
    if (Region.HoldsShare_)
      for (const members::CustomerDemand &Each : Region.Demands_)
        Sums[Each.Customer_].All_ += Each.RequestsPerSecond_;
  return Sums;
}

void CustomerRateLimiter::pickHolder(
    Share &Of, std::uint64_t Matter,
    std::span<const members::HostDescriptor *const> Keepers,
    const std::string &Self) {
  const members::HostDescriptor *First = nullptr;
  const members::HostDescriptor *Second = nullptr;
  std::uint64_t Highest = 0;
  std::uint64_t Next = 0;
  for (const members::HostDescriptor *Each : Keepers) {
    const std::uint64_t Place = base::stableHash(Each->Host_.name(), Matter);
    if (First == nullptr || Place > Highest) {
      Second = std::exchange(First, Each);
      Next = std::exchange(Highest, Place);
    } else if (Second == nullptr || Place > Next) {
      Second = Each;
      Next = Place;
    }
  }
  const auto AddressOf = [&Self](const members::HostDescriptor *Each) {
    return Each == nullptr || Each->Address_ == Self ? std::string()
                                                     : Each->Address_;
  };
  Of.Holder_ = AddressOf(First);
  Of.Second_ = AddressOf(Second);
}

void CustomerRateLimiter::divideOne(Share &Of, const Told &Others,
                                    const FleetDemand &Fleet,
                                    base::TimePoint Now) const {
  const double Even =
      1.0 / static_cast<double>(std::max<std::size_t>(1, Fleet.Regions_));
  const double Least = std::min(Floor, Of.Rate_ * FloorPart);
  const double OwnNow = Of.Demand_.perSecond(Now);
  Of.OwnDemand_.set(OwnNow, Now);
  Of.RegionDemand_.set(OwnNow + Others.Region_, Now);
  const double Own = Of.OwnDemand_.at(Now - NewsDelay);
  const double Region = Of.RegionDemand_.at(Now - NewsDelay);
  const double Sum = Region + Others.All_ - Others.Region_ +
                     Least * static_cast<double>(Fleet.Regions_);
  Of.Part_ = Sum > 0 ? (Region + Least) / Sum : Even;
  Of.OwnPart_ = Sum > 0 ? Own / Sum : 0;
  if (Now - Start_ < StartTime)
    Of.Part_ = std::min(Of.Part_, Even * StartPart);
  Of.Most_ = std::max(
      1.0, allTokens(Of) *
               (Of.Part_ + std::min(Even, Of.Part_ * MostBurstPart)) / 2);
}

void CustomerRateLimiter::keepOwnPart(Share &Of, base::TimePoint Now) noexcept {
  if (!Of.Holder_.empty() || Of.Part_ <= Of.OwnPart_)
    return;
  Of.Region_.fill(Of.regionRate(), Of.Most_, Now);
  Of.Most_ = std::max(1.0, Of.Most_ * Of.OwnPart_ / Of.Part_);
  Of.Part_ = Of.OwnPart_;
}

void CustomerRateLimiter::divide(const FleetDemand &Fleet,
                                 base::TimePoint Now) {
  if (Fleet.CutOff_) {
    for (auto &[Customer, Each] : Shares_)
      keepOwnPart(Each, Now);
    return;
  }
  const std::map<base::CustomerId, Told> Sums = sumOf(Fleet);
  const std::vector<const members::HostDescriptor *> Keepers = keepersOf(Fleet);
  for (auto &[Customer, Each] : Shares_) {
    if (Each.Holder_.empty())
      Each.Region_.fill(Each.regionRate(), Each.Most_, Now);
    const auto Sum = Sums.find(Customer);
    divideOne(Each, Sum == Sums.end() ? Told() : Sum->second, Fleet, Now);
    pickHolder(Each, base::stableHash(Customer.name()), Keepers,
               Fleet.Self_.Address_);
    // What another host keeps now is no longer this one's to give.
    if (!Each.Holder_.empty())
      Each.Region_ = {0, Now};
  }
}

RateVerdict CustomerRateLimiter::take(const base::CustomerId &Customer,
                                      base::TimePoint Now) {
  const auto Found = Shares_.find(Customer);
  if (Found == Shares_.end())
    return {};
  Share &Of = Found->second;
  Of.Demand_.add(1, Now);
  if (Of.Rate_ <= 0)
    return {};
  if (!Of.Holder_.empty())
    return {RateVerdict::Kind::AskHolder, {}, Of.Holder_, Of.Second_};
  if (const auto Wait = takeFor(Customer, Now))
    return {RateVerdict::Kind::Refused, *Wait, {}, {}};
  return {};
}

std::optional<base::Duration>
CustomerRateLimiter::takeFor(const base::CustomerId &Customer,
                             base::TimePoint Now) {
  const auto Found = Shares_.find(Customer);
  if (Found == Shares_.end() || Found->second.Rate_ <= 0)
    return std::nullopt;
  Share &Of = Found->second;
  const bool IsKeeper = Of.Holder_.empty();
  const double PerSecond = Of.regionRate() * (IsKeeper ? 1 : StandbyPart);
  Bucket &From = IsKeeper ? Of.Region_ : Of.Standby_;
  From.fill(PerSecond, IsKeeper ? Of.Most_ : MostStandby, Now);
  return From.take(PerSecond);
}

std::optional<base::Duration>
CustomerRateLimiter::takeAlone(const base::CustomerId &Customer,
                               base::TimePoint Now) {
  const auto Found = Shares_.find(Customer);
  if (Found == Shares_.end())
    return std::nullopt;
  Share &Of = Found->second;
  if (Now - Of.Alone_.Filled_ > AloneFor)
    Of.Alone_ = {0, Now};
  const double PerSecond = Of.Rate_ * Of.OwnPart_ * AlonePart;
  Of.Alone_.fill(PerSecond, MostAlone, Now);
  return Of.Alone_.take(PerSecond);
}

std::vector<members::CustomerDemand>
CustomerRateLimiter::demands(base::TimePoint Now) {
  std::vector<members::CustomerDemand> All;
  for (auto &[Customer, Each] : Shares_) {
    const double PerSecond = Each.Demand_.perSecond(Now);
    if (PerSecond >= 0.05)
      All.push_back({Customer, PerSecond});
  }
  return All;
}

} // namespace lychee::dispatch
