#ifndef LYCHEE_PLACEMENT_TARGETHEALTH_H
#define LYCHEE_PLACEMENT_TARGETHEALTH_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::placement {

/// How a send to a target ended, as far as it speaks of the target's health.
enum class Outcome : std::uint8_t {
  /// Answered; the time counts.
  Success,
  /// The target said that it is full. No sign of ill health.
  Shed,
  /// Answered with its own fault (5xx), or with an unusable answer.
  Faulty,
  /// No connection, or one lost under the request.
  Unreachable,
  /// Ended for the caller's reasons: says nothing.
  Cancelled,
};

/// What this host has seen of one target. It outranks what the target reports
/// of itself, as a target that fails may still report that all is well.
///
/// Not thread-safe: part of its pool. \see TargetPool, which decides how many
/// targets may be ejected at once.
class TargetHealth {
public:
  /// Unreachable sends in a row that eject. Two can be one lost packet on each
  /// of two connections; a third within a few requests hardly.
  static constexpr std::uint32_t UnreachableInRow = 3;
  /// Share of faulty answers that ejects, and samples it needs. Half of the
  /// answers of a healthy service are not faulty at any load.
  static constexpr double FaultyShare = 0.5;
  static constexpr std::uint32_t LeastSamples = 8;
  /// Times the pool's median latency that ejects. Below, two choices already
  /// send a slow target less, because its slots stay taken.
  static constexpr double SlowFactor = 5;
  /// First ejection; doubled each time up to the longest. The first is as long
  /// as a restart of a target takes at least.
  static constexpr base::Duration FirstEjection = std::chrono::seconds(2);
  static constexpr base::Duration LongestEjection = std::chrono::seconds(60);
  /// Time in which a target that is new or comes back gets its slots one by
  /// one: it starts with cold caches, and its work costs more at first.
  static constexpr base::Duration SlowStart = std::chrono::seconds(5);

  /// What speaks against a target.
  enum class Sign : std::uint8_t { None, Unreachable, Faulty, Slow };

  void observe(Outcome Seen, base::Duration Took) noexcept;

  /// \param MedianLatency  of the pool; zero where it is not known.
  Sign sign(base::Duration MedianLatency) const noexcept;

  /// Takes the target out until a time that this returns.
  base::TimePoint eject(base::TimePoint Now) noexcept;

  /// Begins a slow start, as for a target that has just appeared.
  void startSlowly(base::TimePoint Now) noexcept { SlowSince_ = Now; }

  bool isEjected(base::TimePoint Now) const noexcept {
    return Now < EjectedUntil_;
  }

  /// \returns how many of \p Slots may be used now: all but in slow start.
  std::uint32_t usableSlots(std::uint32_t Slots,
                            base::TimePoint Now) const noexcept;

  /// \returns how many slots of this host's \p Share may be used now. In slow
  /// start a part of the hosts uses its share, more of them as time passes:
  /// with one slot a host, "at least one each" would be all at once.
  /// \param Place  the host's place among the hosts at this target, 0 to 1.
  std::uint32_t usableShare(std::uint32_t Share, double Place,
                            base::TimePoint Now) const noexcept;

  std::uint32_t samples() const noexcept { return Samples_; }
  base::Duration latency() const noexcept { return Latency_; }
  bool wasReached() const noexcept { return UnreachableInRow_ == 0; }

private:
  /// \returns the part of the slow start that has passed, 0 to 1.
  double passedPart(base::TimePoint Now) const noexcept;

  std::uint32_t UnreachableInRow_ = 0;
  std::uint32_t Samples_ = 0;
  std::uint32_t Ejections_ = 0;
  double Faulty_ = 0;
  base::Duration Latency_{};
  base::TimePoint EjectedUntil_;
  /// Start of a slow start; long ago where there is none.
  base::TimePoint SlowSince_ = base::TimePoint() - 2 * SlowStart;
};

} // namespace lychee::placement

#endif
