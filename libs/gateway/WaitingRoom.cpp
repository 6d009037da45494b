#include "gateway/WaitingRoom.h"

#include <boost/asio/post.hpp>

namespace lychee::gateway {

Waiter::Waiter(const Executor &Home) : Signal_(Home) {
  Signal_.expires_at(Timer::time_point::max());
}

Task<void> Waiter::wait() {
  while (!Made_ && !Woken_)
    co_await Signal_.async_wait(Await);
}

void Waiter::decide(steering::Decision Made) {
  Made_ = std::move(Made);
  Signal_.cancel();
}

void Waiter::wake() {
  Woken_ = true;
  Signal_.cancel();
}

std::shared_ptr<Waiter> WaitingRoom::enter(std::uint64_t Ticket,
                                           const Executor &Executes) {
  auto Made = std::make_shared<Waiter>(Executes);
  Shard &Home = shardOf(Ticket);
  const std::lock_guard Guard(Home.Lock_);
  Entry &Held = Home.Entries_[Ticket];
  Held.Waiter_ = Made;
  if (Held.Early_)
    Made->decide(*Held.Early_);
  Size_.fetch_add(1);
  return Made;
}

steering::Decision WaitingRoom::leave(std::uint64_t Ticket) {
  Shard &Home = shardOf(Ticket);
  const std::lock_guard Guard(Home.Lock_);
  Size_.fetch_sub(1);
  const auto Found = Home.Entries_.find(Ticket);
  steering::Decision Made =
      std::move(Found->second.Early_).value_or(steering::Decision());
  Home.Entries_.erase(Found);
  return Made;
}

std::optional<steering::Decision> WaitingRoom::abandon(std::uint64_t Ticket,
                                                       base::TimePoint Now) {
  Shard &Home = shardOf(Ticket);
  const std::lock_guard Guard(Home.Lock_);
  Size_.fetch_sub(1);
  Entry &Held = Home.Entries_[Ticket];
  if (Held.Early_) {
    auto Made = std::move(Held.Early_);
    Home.Entries_.erase(Ticket);
    return Made;
  }
  Held.Waiter_.reset();
  Held.Abandoned_ = true;
  Held.AbandonedAt_ = Now;
  return std::nullopt;
}

void WaitingRoom::forgetAbandoned(base::TimePoint Before) {
  for (Shard &Home : Shards_) {
    const std::lock_guard Guard(Home.Lock_);
    std::erase_if(Home.Entries_, [Before](const auto &Each) {
      return Each.second.Abandoned_ && Each.second.AbandonedAt_ < Before;
    });
  }
}

std::vector<steering::Wakeup>
WaitingRoom::deliver(std::span<steering::Wakeup> Woken) {
  std::vector<steering::Wakeup> Unwanted;
  for (steering::Wakeup &Each : Woken) {
    Shard &Home = shardOf(Each.Ticket_);
    const std::lock_guard Guard(Home.Lock_);
    Entry &Held = Home.Entries_[Each.Ticket_];
    if (Held.Abandoned_) {
      Home.Entries_.erase(Each.Ticket_);
      Unwanted.push_back(std::move(Each));
      continue;
    }
    // Kept here, too: should the caller hang up before the posted function
    // runs, abandon() finds the decision.
    Held.Early_ = Each.Decision_;
    if (Held.Waiter_)
      boost::asio::post(
          Held.Waiter_->executor(),
          [Waiter = Held.Waiter_, Made = std::move(Each.Decision_)]() mutable {
            Waiter->decide(std::move(Made));
          });
  }
  return Unwanted;
}

} // namespace lychee::gateway
