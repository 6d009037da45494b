#include "gateway/TargetPools.h"

namespace lychee::gateway {

std::shared_ptr<TargetPool> TargetPools::at(const std::string &Address) {
  {
    const std::shared_lock Guard(Lock_);
    if (const auto Found = Pools_.find(Address); Found != Pools_.end())
      return Found->second;
  }
  const std::lock_guard Guard(Lock_);
  auto &Pool = Pools_[Address];
  if (!Pool)
    Pool = std::make_shared<TargetPool>(Address, UnknownLimit_);
  return Pool;
}

void TargetPools::setTargets(std::span<const TargetEntry> Targets) {
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> Next;
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> Gone;
  const std::lock_guard Guard(Lock_);
  for (const TargetEntry &Entry : Targets) {
    auto &Pool = Next[Entry.Address_];
    const auto Found = Pools_.find(Entry.Address_);
    if (Found != Pools_.end())
      Pool = Found->second;
    else
      Pool =
          std::make_shared<TargetPool>(Entry.Address_, Entry.ConnectionLimit_);
    Pool->setLimit(Entry.ConnectionLimit_);
  }
  Gone.swap(Pools_);
  Pools_.swap(Next);
  for (const auto &[Address, Pool] : Gone)
    if (!Pools_.contains(Address))
      Pool->closeOlderThan(base::TimePoint::max());
}

void TargetPools::closeOlderThan(base::TimePoint LifeSince) {
  const std::shared_lock Guard(Lock_);
  for (const auto &[Address, Pool] : Pools_)
    Pool->closeOlderThan(LifeSince);
}

} // namespace lychee::gateway
