#ifndef LYCHEE_DISPATCH_TARGETREACH_H
#define LYCHEE_DISPATCH_TARGETREACH_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lychee::dispatch {

/// Decides whether this host reaches targets at all, by connects: those of
/// requests that fail raise a suspicion, and a round of probes to other targets
/// settles it.
///
/// Failure: a host loses its links to all targets, while callers, the store and
/// the other hosts reach it. Each target looks dead to it, and nothing more is
/// sent. Symptom without this: it refuses its callers until the links are back.
///
/// Connects and not answers are the evidence: open connections may live on
/// while new ones are refused. Targets that crash fail connects as well, so
/// that a host that reaches any target of a round is not cut off.
///
/// Load pattern: a link that comes and goes. Each time that it breaks again
/// within FlapTime, the host trusts it only after it has held for twice as long
/// as before. After a cut, requests come back over RampTime, since each target
/// has to be connected to anew.
/// \see ForwardingHosts, TargetHealth
class TargetReach {
public:
  /// A failed connect is remembered for this long.
  static constexpr base::Duration FailureMemory = std::chrono::seconds(1);
  /// Targets whose connects failed that raise a suspicion: one may have
  /// crashed.
  static constexpr std::size_t SuspiciousTargets = 2;
  /// Probes that settle a suspicion: of an availability zone that was lost,
  /// others are among them.
  static constexpr std::size_t SuspicionProbes = 4;
  /// Probes of each later round, which only find out when the cut ends.
  static constexpr std::size_t ReturnProbes = 2;
  static constexpr base::Duration RoundInterval =
      std::chrono::milliseconds(500);
  /// A round whose probes are not all reported by then is given up.
  static constexpr base::Duration RoundTimeout = std::chrono::seconds(1);
  static constexpr base::Duration FlapTime = std::chrono::seconds(10);
  static constexpr base::Duration FirstHold = std::chrono::milliseconds(500);
  static constexpr base::Duration MaxHold = std::chrono::seconds(8);
  static constexpr base::Duration RampTime = std::chrono::seconds(2);

  /// What a report changed.
  enum class Change { None, Lost, Regained };

  /// Reports a request's connect that failed, or a new connection that closed
  /// without an answer. \param Target  any number that tells targets apart.
  void recordConnectFailure(std::uint64_t Target, base::TimePoint Now);

  /// \returns whether a round of probes is due.
  bool wantsRound(base::TimePoint Now) const noexcept;
  /// Begins a round of probes if one is due.
  /// \param Available  targets that may be probed.
  /// \returns the number of targets to probe now.
  std::size_t beginRound(std::size_t Available, base::TimePoint Now);
  /// \returns the number of the last round.
  std::uint64_t round() const noexcept { return Round_; }
  /// Reports the end of a probe of the round.
  Change recordProbe(std::uint64_t Round, bool Connected, base::TimePoint Now);

  bool isReached() const noexcept { return Reached_; }
  /// \returns whether connects to several targets failed and no probe has
  /// succeeded since.
  bool isSuspicious(base::TimePoint Now) const noexcept;
  /// \returns the share of requests that this host sends itself, 0 to 1.
  double ownShare(base::TimePoint Now) const noexcept;
  /// \returns when the connects began to fail that made it lose its reach.
  base::TimePoint failingSince() const noexcept { return FailingSince_; }

private:
  Change succeed(base::TimePoint Now);
  Change fail(base::TimePoint Now);

  bool Reached_ = true;
  /// By target: when its connect failed last.
  std::map<std::uint64_t, base::TimePoint> Failures_;
  base::TimePoint FailingSince_;
  std::uint64_t Round_ = 0;
  std::size_t PendingProbes_ = 0;
  base::TimePoint RoundBeganAt_;
  /// Since when all rounds succeeded, while it is not reached.
  std::optional<base::TimePoint> HoldingSince_;
  base::Duration Hold_{};
  std::optional<base::TimePoint> RegainedAt_;
};

} // namespace lychee::dispatch

#endif
