#include "steering/RegionPool.h"

namespace lychee::steering {

RegionPool::RegionPool(const base::RegionId &Region, const base::HostId &Self,
                       const admission::AdmissionControl::Limits &Limits)
    : Region_(Region), Targets_(Self), Line_(Limits) {}

void RegionPool::applyIntent(const settings::Intent &Intent,
                             std::span<const settings::Target> Targets,
                             base::TimePoint Now) {
  std::vector<placement::TargetSpec> Specs;
  for (const settings::Target &Declared : Targets) {
    Specs.push_back({Declared.Id_, Declared.Slots_, Declared.Leaving_});
    Addresses_[Declared.Id_] = Declared.Address_;
  }
  Targets_.setTargets(Specs, Now);
  // A customer that is gone keeps its number: requests of it may still wait.
  for (const auto &[Id, Customer] : Intent.Customers_)
    Customers_[Id] = Line_.enrol(Id, Customer.Weight_);
}

std::optional<admission::CustomerIndex>
RegionPool::customer(const base::CustomerId &Customer) const {
  const auto Found = Customers_.find(Customer);
  if (Found == Customers_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace lychee::steering
