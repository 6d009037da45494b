#ifndef LYCHEE_GATEWAY_WAITINGROOM_H
#define LYCHEE_GATEWAY_WAITINGROOM_H

#include "gateway/AsioTypes.h"
#include "steering/Steering.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lychee::gateway {

/// Where a coroutine waits until its ticket comes up. Of the coroutine's
/// thread, but for what WaitingRoom posts to it.
class Waiter {
public:
  explicit Waiter(const Executor &Home);
  Waiter(const Waiter &) = delete;
  Waiter &operator=(const Waiter &) = delete;

  /// Returns once decide or wake was called.
  Task<void> wait();

  void decide(steering::Decision Made);
  /// Ends the wait without a decision: the caller hung up.
  void wake();

  Executor executor() { return Signal_.get_executor(); }
  const std::optional<steering::Decision> &decision() const { return Made_; }

private:
  Timer Signal_;
  std::optional<steering::Decision> Made_;
  bool Woken_ = false;
};

/// Brings the decisions on waiting requests, which any thread may learn of, to
/// the coroutines that wait for them. Handles both races: a ticket that comes
/// up before its coroutine waits, and one that comes up while its caller hangs
/// up, which would otherwise keep a target's room for good.
///
/// Thread-safe, in shards by ticket, each under its own lock.
class WaitingRoom {
public:
  WaitingRoom() = default;
  WaitingRoom(const WaitingRoom &) = delete;
  WaitingRoom &operator=(const WaitingRoom &) = delete;

  /// Begins to wait for \p Ticket.
  std::shared_ptr<Waiter> enter(std::uint64_t Ticket, const Executor &Home);

  /// Ends the wait for a ticket whose decision has come.
  /// \returns the newest decision: where it is to wait once more, the next one
  /// may have come already.
  steering::Decision leave(std::uint64_t Ticket);

  /// Ends the wait for a ticket that nobody wants any more.
  /// \returns the decision where one was made in the meantime.
  std::optional<steering::Decision> abandon(std::uint64_t Ticket,
                                            base::TimePoint Now);

  /// Hands decisions to their coroutines.
  /// \returns those whose tickets were abandoned; their room is to be freed.
  std::vector<steering::Wakeup> deliver(std::span<steering::Wakeup> Woken);

  /// Forgets tickets abandoned before \p Before. A decision on one may be on
  /// its way from another thread for a moment after it was abandoned.
  void forgetAbandoned(base::TimePoint Before);

  /// \returns how many coroutines wait.
  std::size_t size() const noexcept { return Size_.load(); }

private:
  struct Entry {
    std::shared_ptr<Waiter> Waiter_;
    std::optional<steering::Decision> Early_;
    bool Abandoned_ = false;
    base::TimePoint AbandonedAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<std::uint64_t, Entry> Entries_;
  };
  static constexpr std::size_t ShardCount = 16;

  Shard &shardOf(std::uint64_t Ticket) { return Shards_[Ticket % ShardCount]; }

  std::array<Shard, ShardCount> Shards_;
  std::atomic<std::size_t> Size_ = 0;
};

} // namespace lychee::gateway

#endif
