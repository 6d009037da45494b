#include "gateway/TargetPool.h"

#include <algorithm>
#include <iterator>

namespace lychee::gateway {

TargetPool::TargetPool(std::string Address, std::uint32_t Limit)
    : Address_(std::move(Address)), Limit_(Limit) {}

std::unique_ptr<TargetConnection>
TargetPool::takeIdle(std::uint32_t Worker, base::TimePoint LifeSince,
                     base::TimePoint Now) {
  while (true) {
    std::unique_ptr<TargetConnection> Taken;
    {
      const std::lock_guard Guard(Lock_);
      const auto Found = std::find_if(
          Idle_.rbegin(), Idle_.rend(),
          [Worker](const auto &Each) { return Each->worker() == Worker; });
      if (Found == Idle_.rend() || (*Found)->lastLife() < LifeSince)
        return nullptr;
      Taken = std::move(*Found);
      Idle_.erase(std::next(Found).base());
    }
    if (Taken->mayReuse(Now) && Taken->isUntouched())
      return Taken;
  }
}

std::unique_ptr<TargetConnection> TargetPool::make(const Executor &Home,
                                                   std::uint32_t Worker) {
  if (!makeRoom())
    return nullptr;
  return std::make_unique<TargetConnection>(Home, Worker, Open_);
}

bool TargetPool::makeRoom() {
  std::unique_ptr<TargetConnection> Evicted;
  const std::lock_guard Guard(Lock_);
  if (Open_->load() >= Limit_) {
    if (Idle_.empty())
      return false;
    Evicted = std::move(Idle_.front());
    Idle_.erase(Idle_.begin());
    Evicted.reset();
  }
  // Read again: an evicted one counts down when it is gone, and the limit may
  // have been lowered below what is open.
  if (Open_->load() >= Limit_)
    return false;
  Open_->fetch_add(1);
  return true;
}

void TargetPool::giveBack(std::unique_ptr<TargetConnection> Returned) {
  Returned->markReused();
  const std::lock_guard Guard(Lock_);
  Idle_.push_back(std::move(Returned));
}

void TargetPool::closeOlderThan(base::TimePoint LifeSince) {
  std::vector<std::unique_ptr<TargetConnection>> Old;
  const std::lock_guard Guard(Lock_);
  for (auto &Each : Idle_)
    if (Each->lastLife() < LifeSince)
      Old.push_back(std::move(Each));
  std::erase(Idle_, nullptr);
}

void TargetPool::noteAnswer(base::Duration Took) {
  const std::lock_guard Guard(Lock_);
  Hedging_.answered(Took);
}

std::optional<base::Duration>
TargetPool::hedgeDelay(base::Duration IdleFor, base::Duration IdleLimit) const {
  const std::lock_guard Guard(Lock_);
  return Hedging_.delayFor(IdleFor, IdleLimit);
}

void TargetPool::spendHedge() {
  const std::lock_guard Guard(Lock_);
  Hedging_.spend();
}

void TargetPool::setLimit(std::uint32_t Limit) {
  const std::lock_guard Guard(Lock_);
  Limit_ = Limit;
}

std::size_t TargetPool::idleCount() const {
  const std::lock_guard Guard(Lock_);
  return Idle_.size();
}

} // namespace lychee::gateway
