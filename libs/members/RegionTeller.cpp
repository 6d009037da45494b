#include "members/RegionTeller.h"

#include "base/Hash.h"
#include "members/DemandDeltaEncoder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lychee::members {

bool RegionTeller::isInTurn(const std::string &Name) const {
  return base::stableHash(Name) % Turns == Turn_ % Turns;
}

RegionSummary RegionTeller::tell(const RegionSummary &Known) {
  ++Turn_;
  RegionSummary Made;
  Made.Hosts_ = tellHosts(Known.Hosts_);
  Made.Demands_ = tellDemands(Known.Demands_);
  // Few, and what changes in them matters at once.
  Made.Loads_ = Known.Loads_;
  Made.Evidence_ = Known.Evidence_;
  return Made;
}

std::vector<HostLine> RegionTeller::tellHosts(std::span<const HostLine> Known) {
  std::vector<HostLine> Made;
  std::set<base::HostId> Now;
  for (const HostLine &Each : Known) {
    Now.insert(Each.Card_.Host_);
    const auto [Found, New] = Hosts_.try_emplace(Each.Card_.Host_);
    ToldHost &Told = Found->second;
    if (New || !(Told.Line_ == Each))
      Told = {Each, Repeats};
    const bool IsDue = Told.Left_ > 0 || isInTurn(Each.Card_.Host_.name());
    if (!IsDue || Made.size() >= MostHosts)
      continue;
    Told.Left_ = std::max(0, Told.Left_ - 1);
    Made.push_back(Each);
  }
  std::erase_if(Hosts_,
                [&Now](const auto &Each) { return !Now.contains(Each.first); });
  return Made;
}

std::vector<CustomerDemand>
RegionTeller::tellDemands(std::span<const CustomerDemand> Known) {
  // A customer of which nothing is known any more asks nothing.
  std::map<base::CustomerId, double> All;
  for (const auto &[Customer, Told] : Demands_)
    All[Customer] = 0;
  for (const CustomerDemand &Each : Known)
    All[Each.Customer_] = Each.RequestsPerSecond_;
  std::vector<CustomerDemand> Made;
  for (const auto &[Customer, PerSecond] : All) {
    ToldDemand &Told = Demands_[Customer];
    const double Change = std::abs(PerSecond - Told.PerSecond_);
    if (Change > DemandDeltaEncoder::Noise +
                     DemandDeltaEncoder::NoisePart * Told.PerSecond_)
      Told.Left_ = Repeats;
    const bool IsDue = Told.Left_ > 0 || isInTurn(Customer.name());
    if (!IsDue || Made.size() >= MostDemands)
      continue;
    Told = {PerSecond, std::max(0, Told.Left_ - 1)};
    Made.push_back({Customer, PerSecond});
  }
  std::erase_if(Demands_, [](const auto &Each) {
    return Each.second.PerSecond_ <= 0 && Each.second.Left_ == 0;
  });
  return Made;
}

} // namespace lychee::members
