#ifndef LYCHEE_DISPATCH_DEMANDFORECAST_H
#define LYCHEE_DISPATCH_DEMANDFORECAST_H

#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace lychee::dispatch {

/// Forecasts a demand that is known late: as an average over seconds, announced
/// in intervals.
///
/// Load pattern: the demand of regions varies in waves, by up to 10% a second
/// (a period of 36 s, a swing of 0.55). An average over 2 s that arrives up to
/// a second late is then up to a quarter off, and the regions take each other's
/// overflow when their own peak has begun.
///
/// The forecast is the last value plus its slope times the lead time. How much
/// the slope counts is learned from what earlier slopes predicted: in a wave
/// nearly all of it, in a demand that only fluctuates at random nothing.
///
/// Not thread-safe. \see RegionSplit
class DemandForecast {
public:
  /// The slope is that of the values of this time. A shorter time amplifies
  /// random variation, and a longer one delays the slope of a wave of 36 s by
  /// more than a twentieth of its period.
  static constexpr base::Duration SlopeWindow = std::chrono::seconds(4);
  /// There is no slope before values cover this time: after a start, a gap or a
  /// jump.
  static constexpr base::Duration MinSlopeTime = std::chrono::seconds(2);
  static constexpr std::size_t MinSamples = 3;
  /// The slope is never extrapolated further: the demand is averaged over 2 s
  /// (DecayingRate), and arrives up to 1.5 s late from other regions.
  static constexpr base::Duration MaxLead = std::chrono::milliseconds(3500);
  /// Without a new value for this long, four updates of a region, the slope is
  /// forgotten.
  static constexpr base::Duration GapTime = std::chrono::milliseconds(2500);
  /// Maximum difference between forecast and last value, as a fraction of the
  /// value. The steepest change of the waves over MaxLead.
  static constexpr double MaxChange = 0.35;
  /// A relative change between two values that is larger than this, plus so
  /// much per second, is a jump: hosts started, stopped or were cut off. Waves
  /// change an averaged demand by 10% a second.
  static constexpr double JumpChange = 0.08;
  static constexpr double JumpChangePerSecond = 0.12;
  /// Lead with which earlier slopes are compared to what followed.
  static constexpr base::Duration TrialLead = std::chrono::milliseconds(2500);
  /// Time constant with which the comparisons lose their weight: half a wave of
  /// 36 s.
  static constexpr base::Duration TrialDecayTime = std::chrono::seconds(18);
  /// Until there are comparisons, the slope counts by this part.
  static constexpr double AssumedGain = 0.5;
  /// Weight of the assumption: comparisons that predicted a change by a tenth,
  /// which count as much as it. Smaller changes are mostly random.
  static constexpr double AssumedTrials = 4;
  static constexpr double AssumedChange = 0.1;

  /// Takes the value as known now. A value that equals the last one is no news.
  void record(double Value, base::TimePoint Now);

  /// \returns the value that is expected for now.
  /// \param Lag  time by which a value is outdated when it arrives; the time
  /// since then is added.
  double forecast(base::Duration Lag, base::TimePoint Now) const;

  /// \returns the change per second; 0 without enough history.
  double slopePerSecond() const;
  /// \returns how much of the slope counts, 0 to 1.
  double gain() const;

private:
  struct Sample {
    base::TimePoint Time_;
    double Value_ = 0;
  };
  /// A change that was predicted, until it can be compared.
  struct Trial {
    base::TimePoint DueAt_;
    double From_ = 0;
    double PredictedChange_ = 0;
  };

  bool isJump(double Value, base::TimePoint Now) const;
  void evaluateTrials(base::TimePoint Now);

  /// Bounded by SlopeWindow and by the intervals between updates.
  std::deque<Sample> Samples_;
  std::deque<Trial> Trials_;
  /// Sums over the comparisons: of predicted times actual change, and of the
  /// square of the predicted one, relative to the value.
  double Agreement_ = 0;
  double Predicted_ = 0;
  std::optional<base::TimePoint> EvaluatedAt_;
};

} // namespace lychee::dispatch

#endif
