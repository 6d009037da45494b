#ifndef LYCHEE_DISPATCH_TARGETHEALTH_H
#define LYCHEE_DISPATCH_TARGETHEALTH_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::dispatch {

/// Whether a target may be sent to, by what this host saw of it.
///
/// Load pattern: a target ends without a word. Its entry stays for seconds, and
/// every request sent to it fails; when it is back it is cold, and the requests
/// that waited for it would crash it again. So a target that does not take
/// connections is out for a while, and then sounded by one host alone until
/// its entry tells of a new start or it has answered for a while.
///
/// Failure that bounds this: the way to the target was cut, and the target is
/// well. Symptom without the bound: no entry ever changes, one host alone goes
/// on sounding it, and a host that lost all targets for a moment refuses for
/// good. Where the entry still stands EntryProof later, the target has written
/// it since, at the same start: it did not end, and it is not cold.
///
/// A target that fails only some requests stays in, and is left for another
/// only once it fails more than the usual chance (excess): with all of them
/// failing alike, nobody is left out. A refusal counts less than a failure: it
/// comes at once, says that nothing ran, and the second send finds a target
/// that the object's others warmed.
class TargetHealth {
public:
  /// First time out after a failed connect, doubled up to the longest.
  static constexpr base::Duration FirstOut = std::chrono::milliseconds(700);
  static constexpr base::Duration LongestOut = std::chrono::seconds(3);
  /// Failures in a row that are no chance: where one request in twenty loses
  /// its answer, three in a row are one in 8,000.
  static constexpr std::uint32_t FailuresInRow = 3;
  /// The platform drops a silent target's entry after three heartbeats of 1.5
  /// s; the rest is for hearing of it. \see live::TargetRegistry::HearingTime
  static constexpr base::Duration EntryProof = std::chrono::seconds(6);
  /// A target that fails this part of its requests is left: second sends are
  /// bounded to a fifth of all requests.
  static constexpr double KeptFailures = 0.25;
  /// One that refuses this part though it has room is left. It is more than for
  /// failures: a refused request is sent again at once, while all objects of a
  /// target that is left run cold elsewhere.
  static constexpr double KeptRefusals = 0.6;
  /// A restarted target is cold for about this long.
  static constexpr base::Duration Probation = std::chrono::seconds(3);

  void answered(base::TimePoint Now) noexcept;
  /// It did not take the connection, or ended it before a byte was written.
  void unreachable(base::TimePoint Now) noexcept;
  /// Its answer was lost, cut, unusable, or a failure of its own.
  void failed(base::TimePoint Now) noexcept;
  /// It refused although it should have room.
  void refused() noexcept;

  bool isOut(base::TimePoint Now) const noexcept { return Now < OutUntil_; }
  /// It may have restarted: one host alone sounds it.
  bool isOnProbation(base::TimePoint Now) const noexcept {
    return isSuspect(Now) || Now < ProbationUntil_;
  }
  /// \returns the part of its requests that failed lately, 0 to 1.
  double failureShare() const noexcept { return FailureShare_; }
  /// \returns by how much the part that failed, or that was refused, is more
  /// than a target may do and keep its objects.
  double excess() const noexcept;

private:
  void takeOut(base::TimePoint Now) noexcept;
  bool isSuspect(base::TimePoint Now) const noexcept {
    return Now < SuspectUntil_;
  }

  base::TimePoint OutUntil_;
  base::TimePoint ProbationUntil_;
  base::Duration NextOut_ = FirstOut;
  std::uint32_t InRow_ = 0;
  base::TimePoint SuspectUntil_;
  double FailureShare_ = 0;
  double RefusalShare_ = 0;
};

} // namespace lychee::dispatch

#endif
