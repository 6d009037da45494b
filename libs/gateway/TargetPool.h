#ifndef LYCHEE_GATEWAY_TARGETPOOL_H
#define LYCHEE_GATEWAY_TARGETPOOL_H

#include "gateway/HedgePolicy.h"
#include "gateway/TargetConnection.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lychee::gateway {

/// Connections to one target, for all workers together: those that lie idle,
/// and the count of all, which stays within the target's limit. A connection
/// belongs to the worker that opened it. Where the limit is reached and only
/// other workers have idle ones, one of theirs is closed to make room.
///
/// Thread-safe; the lock is held for a few moves and never over I/O.
/// \see TargetPools
class TargetPool {
public:
  TargetPool(std::string Address, std::uint32_t Limit);
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  const std::string &address() const noexcept { return Address_; }

  /// Takes the worker's idle connection that showed life last, if that was at
  /// \p LifeSince or later and its target still keeps it open at \p Now.
  /// \returns nothing where it has none such.
  std::unique_ptr<TargetConnection> takeIdle(std::uint32_t Worker,
                                             base::TimePoint LifeSince,
                                             base::TimePoint Now);

  /// Makes a connection, not yet opened, that counts against the limit.
  /// \returns nothing where the limit is reached by working ones.
  std::unique_ptr<TargetConnection> make(const Executor &Home,
                                         std::uint32_t Worker);

  /// Keeps a connection whose last answer came whole. \p Returned holds
  /// nothing that came after the answer.
  void giveBack(std::unique_ptr<TargetConnection> Returned);

  /// Closes each idle connection that showed no life since \p LifeSince.
  /// Also called when one connection went silent while new ones work: whatever
  /// lost track of it has most likely lost those of the same age, too, and
  /// each would cost a request its progress timeout to find out.
  void closeOlderThan(base::TimePoint LifeSince);

  /// \see HedgePolicy
  void noteAnswer(base::Duration Took);
  std::optional<base::Duration> hedgeDelay(base::Duration IdleFor,
                                           base::Duration IdleLimit) const;
  void spendHedge();

  void setLimit(std::uint32_t Limit);
  std::uint32_t openCount() const noexcept { return Open_->load(); }
  std::size_t idleCount() const;

private:
  bool makeRoom();

  const std::string Address_;
  const std::shared_ptr<std::atomic<std::uint32_t>> Open_ =
      std::make_shared<std::atomic<std::uint32_t>>(0);
  mutable std::mutex Lock_;
  std::uint32_t Limit_;
  HedgePolicy Hedging_;
  /// Oldest first.
  std::vector<std::unique_ptr<TargetConnection>> Idle_;
};

} // namespace lychee::gateway

#endif
