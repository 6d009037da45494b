#include "members/DemandDeltaEncoder.h"

#include <cmath>

namespace lychee::members {

DemandUpdate DemandDeltaEncoder::encode(std::span<const CustomerDemand> All,
                                        bool Whole) {
  std::map<base::CustomerId, double> Demands;
  for (const CustomerDemand &Each : All)
    Demands.emplace(Each.Customer_, Each.RequestsPerSecond_);
  if (Whole || All.size() <= WholeUpTo_) {
    Told_ = std::move(Demands);
    return {true, {All.begin(), All.end()}};
  }
  DemandUpdate Changed{false, {}};
  const auto Tell = [&](const base::CustomerId &Customer, double Before,
                        double Is) {
    if (std::abs(Is - Before) > Noise + NoisePart * Before)
      Changed.Demands_.push_back({Customer, Is});
  };
  for (const auto &[Customer, Is] : Demands) {
    const auto Before = Told_.find(Customer);
    Tell(Customer, Before == Told_.end() ? 0 : Before->second, Is);
  }
  for (const auto &[Customer, Before] : Told_)
    if (!Demands.contains(Customer))
      Tell(Customer, Before, 0);
  return Changed;
}

} // namespace lychee::members
