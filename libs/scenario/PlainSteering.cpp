#include "scenario/PlainSteering.h"

#include "steering/FleetSteering.h"

namespace lychee::scenario {

steering::Decision PlainSteering::arrive(const steering::Request &Arrived,
                                         base::TimePoint Now) {
  steering::Request Plain = Arrived;
  if (LocalOnly_ && Plain.PreferredRegions_.size() > 1)
    Plain.PreferredRegions_.resize(1);
  if (!Rates_)
    return Inner_.arrive(Plain, Now);
  const auto Spent = Rates_->spend(
      steering::FleetSteering::rateBudgetName(Arrived.Customer_), Now);
  if (Spent.Result_ != budget::SpendResult::Granted) {
    steering::Decision Refused;
    Refused.Refusal_ = steering::Refusal::RateLimited;
    return Refused;
  }
  Plain.Customer_ = base::CustomerId(Everyone);
  Plain.CallerHash_ = 0;
  return Inner_.arrive(Plain, Now);
}

} // namespace lychee::scenario
