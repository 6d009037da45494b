#include "exchange/EpochTracker.h"

#include <algorithm>

namespace lychee::exchange {

bool EpochTracker::enter(std::uint64_t Epoch,
                         std::span<const base::HostId> Members) {
  const std::scoped_lock Guard(Lock_);
  if (Epoch <= Settlement_.epoch())
    return false;
  if (Settlement_.epoch() == 0 && Epoch > 1)
    Settlement_.begin(Epoch - 1, Members);
  Settlement_.begin(Epoch, Members);
  Members_.assign(Members.begin(), Members.end());
  const std::set<base::HostId> Pending = Settlement_.pendingHosts();
  for (const base::HostId &Host : Pending)
    if (std::find(Members_.begin(), Members_.end(), Host) == Members_.end())
      Settlement_.recordLeaseEnd(Host);
  return true;
}

void EpochTracker::acknowledge(const base::HostId &Host, std::uint64_t Epoch) {
  const std::scoped_lock Guard(Lock_);
  if (Epoch >= Settlement_.epoch())
    Settlement_.acknowledge(Host, Settlement_.epoch());
}

std::uint64_t EpochTracker::epoch() const {
  const std::scoped_lock Guard(Lock_);
  return Settlement_.epoch();
}

bool EpochTracker::settled() const {
  const std::scoped_lock Guard(Lock_);
  return Settlement_.settled();
}

std::vector<base::HostId> EpochTracker::pendingHosts() const {
  const std::scoped_lock Guard(Lock_);
  return {Settlement_.pendingHosts().begin(), Settlement_.pendingHosts().end()};
}

} // namespace lychee::exchange
