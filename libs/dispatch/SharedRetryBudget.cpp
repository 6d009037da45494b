#include "dispatch/SharedRetryBudget.h"

#include <algorithm>

namespace lychee::dispatch {

void SharedRetryBudget::recordRequest(std::size_t Hosts) noexcept {
  const double Capacity = std::max(
      1.0, Slack_ / static_cast<double>(std::max<std::size_t>(Hosts, 1)));
  Tokens_ = std::min(Tokens_ + Ratio_, Capacity);
}

bool SharedRetryBudget::trySpend() noexcept {
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

} // namespace lychee::dispatch
