#ifndef LYCHEE_GATEWAY_WATCHDOG_H
#define LYCHEE_GATEWAY_WATCHDOG_H

#include "gateway/Watch.h"

#include <boost/intrusive/list.hpp>
#include <poll.h>
#include <vector>

namespace lychee::gateway {

/// Looks at the watches of one worker at a steady pace and fires those that
/// are due. Work in progress stands in the fine list, looked at each pace;
/// connections that lie idle stand in the coarse one, looked at rarely, so
/// that twenty thousand of them cost next to nothing.
///
/// Not thread-safe: of the worker's thread. \see Worker
class Watchdog {
public:
  /// Pace of the fine list. Deadlines are met this late at most; callers state
  /// them in milliseconds, of which this is a few.
  static constexpr base::Duration FinePace = std::chrono::milliseconds(5);
  /// Pace of the coarse list: its bounds are seconds.
  static constexpr base::Duration CoarsePace = std::chrono::milliseconds(250);

  Watchdog() = default;
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;

  void watchFinely(Watch &Watched);
  void watchCoarsely(Watch &Watched);

  /// Fires what is due. To be called every FinePace.
  void sweep(base::TimePoint Now);

private:
  using List =
      boost::intrusive::list<Watch,
                             boost::intrusive::constant_time_size<false>>;

  void sweepList(List &Watched, base::TimePoint Now);
  void sweepHangUps();

  List Fine_;
  List Coarse_;
  base::TimePoint NextCoarse_;
  std::vector<Watch *> Due_;
  std::vector<Watch *> Polled_;
  std::vector<pollfd> Polls_;
};

} // namespace lychee::gateway

#endif
