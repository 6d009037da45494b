#ifndef LYCHEE_RETRYING_HEDGINGPOLICY_H
#define LYCHEE_RETRYING_HEDGINGPOLICY_H

#include "base/Time.h"

#include <cstdint>
#include <string_view>

namespace lychee::retrying {

/// A send that has not ended yet.
struct PendingSend {
  bool Idempotent_ = false;
  /// True if the connection had carried a request before.
  bool ReusedConnection_ = false;
  /// True if any byte of the response was received.
  bool ResponseStarted_ = false;
  bool AlreadyHedged_ = false;
  base::TimePoint Started_;
  base::TimePoint Deadline_;
  /// Mean execution time of the service's requests.
  base::Duration MeanExecutionTime_{};
};

/// What to do about a send that has not been answered.
struct HedgeDecision {
  enum class Action : std::uint8_t {
    /// Decide again at CheckAt_.
    Wait,
    /// Send the request again on a new connection, if the retry budget allows.
    SendHedge,
    /// This send will never be hedged.
    Never,
  };

  Action Action_ = Action::Never;
  base::TimePoint CheckAt_;
  std::string_view Reason_;
};

/// Decides when an idempotent request on a silent connection is sent a second
/// time.
///
/// Load pattern: a middlebox between the two ends drops its state of a
/// connection, which stays open and silent, and a request on it waits until its
/// deadline. Without a hedge, such a lookup costs its whole deadline. Unlimited
/// hedges would double the load of a slow target just when it is slow. Hence
/// at most one hedge a request, only for idempotent requests, only on a new
/// connection, and only with a token of the RetryBudget.
///
/// Thread-safe: no state.
class HedgingPolicy {
public:
  /// Silence is no longer ordinary after this many times the mean execution
  /// time. Exponentially distributed execution times exceed 4 times their mean
  /// in 1.8% of sends, so that hedges due to mere slowness stay far below the
  /// retry budget's tenth.
  static constexpr int SilenceFactor = 4;
  /// Lower bound of the silence before a hedge. A new connection costs about
  /// 1 ms, and reported execution times below it are too coarse to rely on.
  static constexpr base::Duration MinSilence = std::chrono::milliseconds(20);

  static HedgeDecision decide(const PendingSend &Send,
                              base::TimePoint Now) noexcept;
};

} // namespace lychee::retrying

#endif
