#ifndef LYCHEE_DISPATCH_TARGETHEALTH_H
#define LYCHEE_DISPATCH_TARGETHEALTH_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::dispatch {

/// Decides whether a target may be sent to, by the outcome of this host's
/// requests.
///
/// Load pattern: a target ends without deregistering. Its entry stays for
/// seconds, and every request sent to it fails; when it is back it is cold, and
/// the requests that waited for it would crash it again. So a target that does
/// not accept connections is ejected for a while, and then probed by a single
/// host until its entry shows a new start or it has answered for a while.
///
/// Failure that bounds this: the path to the target was cut, and the target is
/// healthy. Without the bound, its entry would never change, a single host
/// would go on probing it, and a host that lost all targets for a moment would
/// refuse requests for good. Where the entry still exists RestartDetectionTime
/// later, the target has renewed it since, with the same start: it did not end,
/// and it is not cold.
///
/// A target that fails only some requests stays in use, and loses its objects
/// only once it fails more than is tolerated (excessFailureShare()): where all
/// targets fail alike, none is left out. A refusal counts less than a failure:
/// it comes at once, states that nothing ran, and the second send reaches a
/// target that other requests for the object have warmed.
class TargetHealth {
public:
  /// Ejection time after a failed connect, doubled with each further one up to
  /// MaxEjectionTime.
  static constexpr base::Duration BaseEjectionTime =
      std::chrono::milliseconds(700);
  static constexpr base::Duration MaxEjectionTime = std::chrono::seconds(3);
  /// Consecutive failures that eject a target: where one request in twenty
  /// loses its answer, three in a row happen once in 8,000 by chance.
  static constexpr std::uint32_t MaxConsecutiveFailures = 3;
  /// Time after which a restart would show in the target's entry. The platform
  /// drops a silent target's entry after three heartbeats of 1.5 s; the rest is
  /// for the propagation to this host. \see
  /// live::TargetRegistry::PropagationTime
  static constexpr base::Duration RestartDetectionTime =
      std::chrono::seconds(6);
  /// Share of failed requests beyond which a target loses its objects: retries
  /// are bounded to a fifth of all requests.
  static constexpr double ToleratedFailureShare = 0.25;
  /// Share of requests refused with slots free beyond which a target loses its
  /// objects. Higher than for failures: a refused request is sent again at
  /// once, while all objects of a target that loses them run cold elsewhere.
  static constexpr double ToleratedRefusalShare = 0.6;
  /// Approximate time for which a restarted target is cold.
  static constexpr base::Duration ProbationTime = std::chrono::seconds(3);

  void recordAnswer(base::TimePoint Now) noexcept;
  /// The target did not accept the connection.
  void recordConnectFailure(base::TimePoint Now) noexcept;
  /// Its answer was lost, truncated, invalid, or a server error.
  void recordFailure(base::TimePoint Now) noexcept;
  /// It refused a request although it should have a free slot.
  void recordRefusal() noexcept;
  /// Takes back an ejection that began at \p Since or later, with all that
  /// follows from it: this host's link had failed, and not the target.
  void forgetSince(base::TimePoint Since) noexcept;

  bool isEjected(base::TimePoint Now) const noexcept {
    return Now < EjectedUntil_;
  }
  /// \returns whether it may have restarted: a single host probes it.
  bool isOnProbation(base::TimePoint Now) const noexcept {
    return mayHaveRestarted(Now) || Now < ProbationUntil_;
  }
  /// \returns the share of its recent requests that failed, 0 to 1.
  double failureShare() const noexcept { return FailureShare_; }
  /// \returns by how much the share of failures or of refusals exceeds what is
  /// tolerated; 0 where neither does.
  double excessFailureShare() const noexcept;

private:
  void eject(base::TimePoint Now) noexcept;
  bool mayHaveRestarted(base::TimePoint Now) const noexcept {
    return Now < RestartSuspectedUntil_;
  }

  base::TimePoint EjectedAt_;
  base::TimePoint EjectedUntil_;
  base::TimePoint ProbationUntil_;
  base::Duration NextEjectionTime_ = BaseEjectionTime;
  std::uint32_t ConsecutiveFailures_ = 0;
  base::TimePoint RestartSuspectedUntil_;
  double FailureShare_ = 0;
  double RefusalShare_ = 0;
};

} // namespace lychee::dispatch

#endif
