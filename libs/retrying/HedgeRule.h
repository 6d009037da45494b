#ifndef LYCHEE_RETRYING_HEDGERULE_H
#define LYCHEE_RETRYING_HEDGERULE_H

#include "base/Time.h"

#include <cstdint>
#include <string_view>

namespace lychee::retrying {

/// A send that has not ended yet.
struct OpenSend {
  bool Idempotent_ = false;
  /// True where the send went over a connection that had been used before.
  bool ReusedConnection_ = false;
  /// True where any byte of the answer has come.
  bool AnswerBegun_ = false;
  bool HedgedBefore_ = false;
  base::TimePoint Started_;
  base::TimePoint Deadline_;
  /// Time within which ordinary work of the service ends: mean of slot time.
  base::Duration OrdinaryWork_{};
};

/// What to do about a send that has not been answered.
struct HedgeVerdict {
  enum class Action : std::uint8_t {
    /// Look again at Again_.
    Wait,
    /// Send a second time on a new connection, where the budget allows.
    SendSecond,
    /// No second send will ever be right.
    Never,
  };

  Action Action_ = Action::Never;
  base::TimePoint Again_;
  std::string_view Reason_;
};

/// When idempotent work on a silent connection is sent a second time.
///
/// Load pattern: a connection that something between the two ends has lost
/// track of stays open and silent; the request on it would wait until its
/// deadline. Without a hedge, a late lookup costs its whole deadline. Without
/// limits, hedges double the load of a slow target just when it is slow: hence
/// once a request, only for idempotent ones, only on a new connection, and
/// only with a token of the RetryBudget.
///
/// Thread-safe: no state.
class HedgeRule {
public:
  /// Slot times after which silence is no longer ordinary. Exponential work
  /// passes 4 times its mean in 1.8% of sends, so that hedges for mere
  /// slowness stay far below the budget's tenth.
  static constexpr int OrdinaryWorks = 4;
  /// Never sooner than this: a new connection costs about 1 ms, and reports
  /// of work below it are too coarse to build on.
  static constexpr base::Duration ShortestSilence =
      std::chrono::milliseconds(20);

  static HedgeVerdict decide(const OpenSend &Send,
                             base::TimePoint Now) noexcept;
};

} // namespace lychee::retrying

#endif
