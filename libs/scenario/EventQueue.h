#ifndef LYCHEE_SCENARIO_EVENTQUEUE_H
#define LYCHEE_SCENARIO_EVENTQUEUE_H

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lychee::scenario {

/// Virtual time: runs actions in the order of their times, and those of one
/// time in the order in which they were added. Not thread-safe.
class EventQueue {
public:
  using Action = std::function<void()>;

  EventQueue() = default;
  EventQueue(const EventQueue &) = delete;
  EventQueue &operator=(const EventQueue &) = delete;

  base::TimePoint now() const noexcept { return Now_; }

  void at(base::TimePoint When, Action Run) {
    Entries_.push({When < Now_ ? Now_ : When, NextOrder_++, std::move(Run)});
  }
  void after(base::Duration Delay, Action Run) {
    at(Now_ + Delay, std::move(Run));
  }

  /// Runs all up to and including \p End.
  void runUntil(base::TimePoint End);

private:
  struct Entry {
    base::TimePoint When_;
    std::uint64_t Order_ = 0;
    Action Run_;

    bool operator<(const Entry &Other) const noexcept {
      // The queue's top is its greatest entry, and the earliest runs first.
      return When_ != Other.When_ ? When_ > Other.When_ : Order_ > Other.Order_;
    }
  };

  /// Begins off zero, where an unset time would pass for a set one.
  base::TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Entry> Entries_;
};

} // namespace lychee::scenario

#endif
