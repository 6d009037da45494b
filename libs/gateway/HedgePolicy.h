#ifndef LYCHEE_GATEWAY_HEDGEPOLICY_H
#define LYCHEE_GATEWAY_HEDGEPOLICY_H

#include "base/Time.h"

#include <optional>

namespace lychee::gateway {

/// Decides how long an idempotent request waits on a kept connection for the
/// first byte of its answer before it is sent once more on a new one, to the
/// same target.
///
/// Load it answers: connections that went silent, because something between the
/// two ends lost track of them. Without it each such request waits until its
/// deadline. That a connection answered a moment ago says little: on first
/// sending only on one that lay idle for a second, a caller in steady use met
/// 504 after the service's whole deadline (DaemonFaultTest). The second send
/// costs a slow target work twice, so it is bounded two ways:
/// - only after four times the usual time to the first byte, so that ordinary
///   spread does not set it off, and not before 200 ms, ten times the usual
///   work of 20 ms;
/// - at most one in twenty answered requests, after five to begin with: a
///   target that has grown slow for all cannot be given twice its load.
///
/// One for each target; not thread-safe. \see TargetPool
class HedgePolicy {
public:
  static constexpr base::Duration LeastDelay = std::chrono::milliseconds(200);
  static constexpr int UsualTimes = 4;
  static constexpr double ShareOfAnswers = 0.05;
  static constexpr double FirstBudget = 5;
  static constexpr double MostBudget = 10;

  /// An answer began \p Took after its request was written.
  void answered(base::Duration Took) noexcept;

  /// \returns how long to wait for a first byte on a connection that lay idle
  /// for \p IdleFor; nothing where the request is not to be sent again.
  std::optional<base::Duration>
  delayFor(base::Duration IdleFor, base::Duration IdleLimit) const noexcept;

  /// A request was sent once more.
  void spend() noexcept { Budget_ -= 1; }

private:
  double Budget_ = FirstBudget;
  base::Duration Usual_{};
};

} // namespace lychee::gateway

#endif
