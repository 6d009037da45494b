#include "budget/ExchangePolicy.h"

#include "base/WideInteger.h"

#include <algorithm>

namespace lychee::budget {

namespace {

/// \returns the parts of the capacity that hold \p Tokens of \p Burst, rounded
/// up.
Parts capacityFor(std::int64_t Tokens, std::int64_t Burst) noexcept {
  if (Burst <= 0 || Tokens <= 0)
    return 0;
  const base::Int128 Product =
      static_cast<base::Int128>(Tokens) * TotalParts + Burst - 1;
  return static_cast<Parts>(
      std::min<base::Int128>(Product / Burst, TotalParts));
}

} // namespace

Parts ExchangePolicy::needed(const ShareState &Own) const noexcept {
  const double Needed = static_cast<double>(Own.Demand_) * DemandMargin_;
  return static_cast<Parts>(std::min(Needed, static_cast<double>(TotalParts)));
}

Parts ExchangePolicy::floorOf(const ShareState &Own) const noexcept {
  return static_cast<Parts>(static_cast<double>(equalShare(Own.Hosts_).Rate_) *
                            Floor_);
}

ExchangeAmount
ExchangePolicy::amountToRequest(const ShareState &Own) const noexcept {
  ExchangeAmount Wanted;
  Wanted.Parts_.Rate_ = std::max<Parts>(0, needed(Own) - Own.Held_.Rate_);
  Wanted.Tokens_ = std::max<std::int64_t>(0, Own.NearTermDemand_ - Own.Level_);
  Wanted.Parts_.Capacity_ = capacityFor(Wanted.Tokens_, Own.Burst_);
  // A shortfall of less than a tenth of the held rate is not worth a message,
  // unless the tokens are about to run out.
  if (Wanted.Tokens_ == 0 && Wanted.Parts_.Rate_ < Own.Held_.Rate_ / 10)
    return {};
  return Wanted;
}

Parts ExchangePolicy::spareRate(const ShareState &Own) const noexcept {
  const Parts Kept = std::max(needed(Own), floorOf(Own));
  return std::max<Parts>(0, Own.Held_.Rate_ - Kept);
}

std::int64_t ExchangePolicy::spareTokens(const ShareState &Own) const noexcept {
  const std::int64_t Floor = static_cast<std::int64_t>(
      static_cast<double>(Own.Burst_) / std::max(1U, Own.Hosts_) * Floor_);
  const std::int64_t Kept = std::max(2 * Own.NearTermDemand_, Floor);
  return std::max<std::int64_t>(0, Own.Level_ - Kept);
}

ExchangeAmount
ExchangePolicy::amountToGrant(const ShareState &Own, Parts RequestedRate,
                              std::int64_t RequestedTokens) const noexcept {
  ExchangeAmount Granted;
  Granted.Parts_.Rate_ = std::min(RequestedRate, spareRate(Own));
  Granted.Tokens_ = std::min(RequestedTokens, spareTokens(Own));
  const Parts ForTokens = capacityFor(Granted.Tokens_, Own.Burst_);
  // Capacity is granted in proportion to the rate, or a host that was granted a
  // busy customer's rate could not hold the tokens between two requests.
  const Parts ForRate =
      Own.Held_.Rate_ <= 0
          ? 0
          : static_cast<Parts>(static_cast<base::Int128>(Own.Held_.Capacity_) *
                               Granted.Parts_.Rate_ / Own.Held_.Rate_);
  const Parts MaxCapacity =
      std::max<Parts>(0, Own.Held_.Capacity_ - floorOf(Own));
  Granted.Parts_.Capacity_ =
      std::min(std::max(ForTokens, ForRate), MaxCapacity);
  return Granted;
}

} // namespace lychee::budget
