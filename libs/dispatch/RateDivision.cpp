#include "dispatch/RateDivision.h"

#include <algorithm>

namespace lychee::dispatch {

void RateDivision::setCustomers(std::span<const live::CustomerRule> Customers,
                                base::TimePoint Now) {
  std::map<base::CustomerId, Share> Next;
  for (const live::CustomerRule &Each : Customers) {
    Share Made;
    Made.Part_ = 1.0 / AssumedHosts;
    Made.Filled_ = Now;
    if (const auto Old = Shares_.find(Each.Id_); Old != Shares_.end())
      Made = Old->second;
    fill(Made, Now);
    Made.Rate_ = Each.RatePerSecond_;
    Made.Burst_ = Each.Burst_;
    Next.emplace(Each.Id_, Made);
  }
  Shares_ = std::move(Next);
}

void RateDivision::fill(Share &Of, base::TimePoint Now) noexcept {
  const double Passed = base::toSeconds(Now - Of.Filled_);
  Of.Filled_ = Now;
  Of.Tokens_ =
      std::min(Of.Tokens_ + Passed * Of.Rate_ * Of.Part_ * UsedPart, Of.Most_);
}

double RateDivision::allTokens(const Share &Of) const noexcept {
  const double InWindow =
      Of.Rate_ * base::toSeconds(Bounds_.RateWindow_) + Of.Burst_;
  return Of.Burst_ * UsedPart +
         UsedSlack * (InWindow * Bounds_.RateOverage_ + Bounds_.RateSlack_);
}

void RateDivision::divide(const FleetDemand &Fleet, base::TimePoint Now) {
  if (Fleet.CutOff_)
    return;
  const double MostAtStart =
      1.0 / static_cast<double>(std::max(AssumedHosts, Fleet.Holders_));
  for (auto &[Customer, Each] : Shares_) {
    fill(Each, Now);
    const double Least = std::min(Floor, Each.Rate_ * FloorPart);
    const double Own = Each.Demand_.perSecond(Now) + Least;
    double Sum = Own;
    double Heard = Each.Demand_.perSecond(Now);
    for (const members::HostView &Other : Fleet.Others_) {
      if (!Other.HoldsShare_)
        continue;
      Sum += Least;
      for (const members::CustomerDemand &Told : Other.Demands_)
        if (Told.Customer_ == Customer) {
          Sum += Told.RequestsPerSecond_;
          Heard += Told.RequestsPerSecond_;
        }
    }
    Each.Used_ = Each.Rate_ > 0 ? Heard / Each.Rate_ : 1;
    Each.Part_ = Sum > 0 ? Own / Sum : 0;
    if (Now - Start_ < StartTime)
      Each.Part_ = std::min(Each.Part_, MostAtStart);
    // Bursts are chance at each host, so half of the room for them is divided
    // evenly.
    const double Even = 1.0 / static_cast<double>(Fleet.Holders_);
    Each.Most_ =
        std::max(1.0, allTokens(Each) *
                          (Each.Part_ + std::min(Even, Each.Part_ * 4)) / 2);
  }
}

std::optional<base::Duration>
RateDivision::take(const base::CustomerId &Customer, base::TimePoint Now) {
  const auto Found = Shares_.find(Customer);
  if (Found == Shares_.end())
    return std::nullopt;
  Share &Of = Found->second;
  Of.Demand_.add(1, Now);
  if (Of.Rate_ <= 0)
    return std::nullopt;
  fill(Of, Now);
  if (Of.Tokens_ >= 1) {
    Of.Tokens_ -= 1;
    return std::nullopt;
  }
  const double Rate = std::max(0.1, Of.Rate_ * Of.Part_ * UsedPart);
  const base::Duration Here = base::fromSeconds((1 - Of.Tokens_) / Rate);
  return Of.Used_ < AmpleRate ? std::min(Here, ElsewhereSoon) : Here;
}

std::vector<members::CustomerDemand>
RateDivision::demands(base::TimePoint Now) {
  std::vector<members::CustomerDemand> All;
  for (auto &[Customer, Each] : Shares_) {
    const double PerSecond = Each.Demand_.perSecond(Now);
    if (PerSecond >= 0.05)
      All.push_back({Customer, PerSecond});
  }
  return All;
}

} // namespace lychee::dispatch
