#include "members/DemandDeltaEncoder.h"

#include <cmath>

namespace lychee::members {

DemandUpdate DemandDeltaEncoder::encode(std::span<const CustomerDemand> All,
                                        bool Full) {
  std::map<base::CustomerId, double> Demands;
  for (const CustomerDemand &Demand : All)
    Demands.emplace(Demand.Customer_, Demand.RequestsPerSecond_);
  if (Full || All.size() <= FullUpTo_) {
    LastFull_ = std::move(Demands);
    return {true, {All.begin(), All.end()}};
  }
  DemandUpdate Changed{false, {}};
  const auto AddIfChanged = [&](const base::CustomerId &Customer,
                                double Previous, double Current) {
    if (std::abs(Current - Previous) > MinChange + MinChangeRatio * Previous)
      Changed.Demands_.push_back({Customer, Current});
  };
  for (const auto &[Customer, Current] : Demands) {
    const auto Previous = LastFull_.find(Customer);
    AddIfChanged(Customer, Previous == LastFull_.end() ? 0 : Previous->second,
                 Current);
  }
  for (const auto &[Customer, Previous] : LastFull_)
    if (!Demands.contains(Customer))
      AddIfChanged(Customer, Previous, 0);
  return Changed;
}

} // namespace lychee::members
