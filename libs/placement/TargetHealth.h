#ifndef LYCHEE_PLACEMENT_TARGETHEALTH_H
#define LYCHEE_PLACEMENT_TARGETHEALTH_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::placement {

/// The result of a send, as evidence of the target's health.
enum class Outcome : std::uint8_t {
  /// Answered; the latency is recorded.
  Success,
  /// The target reported that it is full. No sign of bad health.
  Shed,
  /// Answered with a server error (5xx) or an unusable response.
  Faulty,
  /// The connection failed or was lost during the request.
  Unreachable,
  /// Ended for a reason on the caller's side: no evidence.
  Cancelled,
};

/// Outlier detection for one target, from what this host observed. Observations
/// take precedence over the target's own reports, because a failing target may
/// still report that it is healthy.
///
/// Not thread-safe: part of its pool. \see TargetPool, which limits how many
/// targets may be ejected at once.
class TargetHealth {
public:
  /// Consecutive unreachable sends that eject a target. Two can be one lost
  /// packet on each of two connections; a third within a few requests is
  /// unlikely to be chance.
  static constexpr std::uint32_t UnreachableThreshold = 3;
  /// Share of faulty responses that ejects a target, and the number of samples
  /// it takes. A healthy service gives fewer than half faulty responses at any
  /// load.
  static constexpr double FaultyThreshold = 0.5;
  static constexpr std::uint32_t MinSamples = 8;
  /// Multiple of the pool's median latency that ejects a target. Below it the
  /// two-choices selection already sends a slow target less, because its slots
  /// stay occupied.
  static constexpr double SlowFactor = 5;
  /// Duration of the first ejection; each further one lasts twice as long, up
  /// to the maximum. The first lasts as long as the shortest restart of a
  /// target.
  static constexpr base::Duration BaseEjectionTime = std::chrono::seconds(2);
  static constexpr base::Duration MaxEjectionTime = std::chrono::seconds(60);
  /// Duration over which the slots of a new or returning target are opened one
  /// by one: it starts with cold caches, so its requests cost more at first.
  static constexpr base::Duration SlowStartWindow = std::chrono::seconds(5);

  /// Evidence against a target.
  enum class Symptom : std::uint8_t { None, Unreachable, Faulty, Slow };

  void observe(Outcome Result, base::Duration Latency) noexcept;

  /// \param MedianLatency  of the pool; zero where it is unknown.
  Symptom symptom(base::Duration MedianLatency) const noexcept;

  /// Ejects the target. \returns the end of the ejection.
  base::TimePoint eject(base::TimePoint Now) noexcept;

  /// Begins a slow start, as for a new target.
  void beginSlowStart(base::TimePoint Now) noexcept { SlowStartBegin_ = Now; }

  bool isEjected(base::TimePoint Now) const noexcept {
    return Now < EjectedUntil_;
  }

  /// \returns how many of \p Slots may be used now: all of them, except during
  /// a slow start.
  std::uint32_t usableSlots(std::uint32_t Slots,
                            base::TimePoint Now) const noexcept;

  /// \returns how many slots of this host's \p Share may be used now. During a
  /// slow start only some hosts use their share, more of them as time passes:
  /// with one slot per host, a minimum of one slot each would open all slots at
  /// once.
  /// \param HostRank  the host's pseudo-random rank among the hosts at this
  /// target, 0 to 1.
  std::uint32_t usableShare(std::uint32_t Share, double HostRank,
                            base::TimePoint Now) const noexcept;

  std::uint32_t samples() const noexcept { return Samples_; }
  base::Duration latency() const noexcept { return Latency_; }
  bool isReachable() const noexcept { return ConsecutiveUnreachable_ == 0; }

private:
  /// \returns the elapsed fraction of the slow start, 0 to 1.
  double slowStartProgress(base::TimePoint Now) const noexcept;

  std::uint32_t ConsecutiveUnreachable_ = 0;
  std::uint32_t Samples_ = 0;
  std::uint32_t EjectionCount_ = 0;
  double FaultyShare_ = 0;
  base::Duration Latency_{};
  base::TimePoint EjectedUntil_;
  /// Begin of the last slow start; far in the past where there was none.
  base::TimePoint SlowStartBegin_ = base::TimePoint() - 2 * SlowStartWindow;
};

} // namespace lychee::placement

#endif
