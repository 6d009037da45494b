#ifndef LYCHEE_DISPATCH_SERVICESPEEDS_H
#define LYCHEE_DISPATCH_SERVICESPEEDS_H

#include "base/Time.h"
#include "dispatch/TargetSpeed.h"

#include <array>
#include <optional>

namespace lychee::dispatch {

/// How the speeds of a service's targets vary: their mean, and for how long a
/// statement of one holds.
///
/// Load pattern: targets that share machines; at any moment 15% of them take
/// 2.5 times as long, each for some 0.6 s. Without the statements, a long run
/// sent to a slow target misses its objective or its rule's timeout, and the
/// time that it took is learned as the usual one. A statement taken at face
/// value for seconds is as harmful: by then the target is as fast as any other.
/// So a stated factor decays with its age towards the mean of the service, with
/// the half-life that predicted the statements of the same targets best so far.
///
/// Where no target states a speed, every factor is 1.
class ServiceSpeeds {
public:
  /// Candidates for the half-life, in seconds. Below the first one, a statement
  /// is out of date when the next request arrives; the last one exceeds the
  /// longest runs of usual rules.
  static constexpr std::array HalfLives = {0.05, 0.1, 0.2, 0.4,
                                           0.8,  1.6, 3.2, 6.4};

  /// Takes a load report of a target, and learns from it and from the target's
  /// previous one.
  void record(TargetSpeed &Target, std::optional<double> Factor,
              base::TimePoint Now) noexcept;

  /// \returns whether a target of the service has stated a speed.
  bool isStated() const noexcept { return IsStated_; }
  /// \returns the mean factor of the service's targets.
  double usual() const noexcept { return Usual_; }
  /// \returns the time in which a statement loses half of its weight.
  base::Duration halfLife() const noexcept;

  /// \returns the expected factor of a target now. A target whose reports state
  /// none has factor 1, as its speed is part of what is learned of it.
  double expected(const TargetSpeed &Target,
                  base::TimePoint Now) const noexcept;

  /// \returns the factor by which a run was slower than usual, as far as the
  /// reports at its start and end tell. Targets may fix the speed of a run at
  /// its start, or change it meanwhile; either way the mean of both ends is
  /// free of bias, where what the end says is weighted down for long runs.
  /// \param AtStart  factor expected at the start.
  /// \param Target  the target after its report at the end.
  double ofRun(double AtStart, const TargetSpeed &Target,
               base::Duration Took) const noexcept;

private:
  double decayed(double Factor, base::Duration Age) const noexcept;

  bool IsStated_ = false;
  double Usual_ = 1;
  /// Recent squared error of the prediction by each half-life.
  std::array<double, HalfLives.size()> Errors_{};
  /// The half-life with the smallest error. Before anything is learned, one of
  /// 0.4 s: a statement counts for as long as a usual request runs.
  std::size_t Best_ = 3;
};

} // namespace lychee::dispatch

#endif
