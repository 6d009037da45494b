#ifndef LYCHEE_DISPATCH_EXECUTIONTIMES_H
#define LYCHEE_DISPATCH_EXECUTIONTIMES_H

#include "base/Time.h"

namespace lychee::dispatch {

/// Execution times of a rule's requests, learned separately for targets that
/// are warm for the request's object and for those that are not.
///
/// Load pattern: targets that are three times faster with an object they
/// handled recently. A mean over both kinds of run describes neither: a target
/// with a cold run looks slow, so its objects are sent elsewhere, where they
/// run cold again. Where the runs do not differ both times converge.
class ExecutionTimes {
public:
  /// Assumed time of a warm run before any answer, for rules that state no
  /// objective.
  static constexpr base::Duration DefaultTime = std::chrono::milliseconds(150);
  /// The same as a fraction of the objective: operators state one that a warm
  /// run meets with a margin.
  static constexpr double ObjectiveFraction = 0.5;
  /// Assumed ratio of a cold to a warm run before a warm run was seen.
  static constexpr double AssumedColdRatio = 3.3;
  /// Shorter runs are within the overhead of clocks and links.
  static constexpr double MinRunSeconds = 0.001;
  /// Minimum weight of one run in a mean: about the last twenty runs count.
  static constexpr double MinWeight = 0.05;

  /// \param Objective  time within which an answer of the rule is worth most;
  /// zero: none is stated.
  explicit ExecutionTimes(base::Duration Objective = {}) noexcept;

  /// \returns whether a run was recorded here, or adopted from another host.
  bool isKnown() const noexcept { return Overall_.Count_ > 0; }
  /// Adopts what another host learned, in seconds, unless times are known here.
  void adopt(double Warm, double Cold, double Overall) noexcept;

  double warmSeconds() const noexcept { return Warm_.Seconds_; }
  /// \returns the time of a cold run, never less than that of a warm one.
  double coldSeconds() const noexcept;
  /// \returns the mean over all runs: the time that each request ahead in a
  /// queue takes.
  double meanSeconds() const noexcept { return Overall_.Seconds_; }

  /// \returns whether a run of this length was most likely warm.
  /// \param KnownWarm  the target handled the object for this host recently.
  bool wasWarm(double Seconds, bool KnownWarm) const noexcept;

  /// Records a run, without the time that it waited for a slot.
  void record(double Seconds, bool KnownWarm) noexcept;

private:
  struct RunningMean {
    double Seconds_ = base::toSeconds(DefaultTime);
    int Count_ = 0;
    void add(double Seconds) noexcept;
  };

  RunningMean Warm_;
  RunningMean Cold_{base::toSeconds(DefaultTime) * AssumedColdRatio, 0};
  RunningMean Overall_;
};

} // namespace lychee::dispatch

#endif
