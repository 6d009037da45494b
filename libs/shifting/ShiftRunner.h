#ifndef LYCHEE_SHIFTING_SHIFTRUNNER_H
#define LYCHEE_SHIFTING_SHIFTRUNNER_H

#include "shifting/ShiftCapLimiter.h"
#include "shifting/ShiftPlan.h"

#include <optional>
#include <string_view>

namespace lychee::shifting {

/// Load of the two regions of a plan, over all hosts.
struct RegionsView {
  /// Free slots of the receiving region for steered requests; empty where they
  /// are not measured.
  std::optional<double> ReceiverFreeSlots_;
  base::TimePoint MeasuredAt_;
  /// Slots in use by the callers of From, moved or not.
  double CallersSlots_ = 0;
  /// \see ColdCacheCost
  double ColdFactor_ = 1;
};

/// State of a plan on this host, and the reason.
struct ShiftStatus {
  /// Share of From's callers that is moved now.
  double Fraction_ = 0;
  /// Share that the plan provides for by now.
  double Wanted_ = 0;
  /// "not-begun", "moving", "pace", "done", "held-by-operator",
  /// "held-no-headroom", "held-no-measurement", "aborting" or "aborted".
  std::string_view Reason_;
};

/// Executes a plan on this host: follows the planned share as far as the
/// receiving region has capacity.
///
/// Load pattern: a plan goes on moving callers while its receiver fills up or
/// is no longer measured. Without a hold the next steps overload it. A hold
/// moves no caller back, because the caches of moved callers are warm where
/// they are now. Afterwards the plan goes on by single steps at its pace, and
/// never makes up for the time it was held in one jump.
///
/// An abort moves callers back by the same steps at the same pace, and only as
/// far as From, whose caches have cooled, has capacity.
///
/// Not thread-safe: the owner guards it by the lock of its service.
class ShiftRunner {
public:
  /// Maximum share of the receiver's free slots that one step may take. The
  /// rest is for the next burst of the receiver's own callers, and for what
  /// other plans and failovers steer there before the next measurement.
  static constexpr double MaxShareOfFreeSlots = 0.5;
  /// Steps below this share of the plan's own step are not made: they would
  /// move too few callers to be measured.
  static constexpr double MinStepShare = 0.1;
  /// Age above which a measurement is ignored. Load reports ordinarily lag by
  /// up to a second.
  static constexpr base::Duration MaxMeasurementAge = std::chrono::seconds(3);

  explicit ShiftRunner(const ShiftPlan &Plan) : Plan_(Plan) {}

  /// Applies a changed plan; the share reached is kept.
  void replacePlan(const ShiftPlan &Plan) { Plan_ = Plan; }

  /// Sets the share reached, for a host that has just started: the smallest
  /// share that any peer has reached.
  void adoptPeerShare(double PeersFraction) noexcept;

  /// Makes a step where one is due.
  /// \param View  its free slots are lowered by the slots that the step takes,
  /// so that plans stepped one after another share them.
  ShiftStatus tick(RegionsView &View, base::TimePoint Now,
                   base::WallPoint Wall);

  /// \returns whether the caller's request goes to To; counts it against the
  /// cap.
  /// \param Headroom  whether To can take one more request within this host's
  /// share of its headroom. Called last, because it may take a token.
  template <typename HeadroomCheck>
  bool tryMove(std::uint64_t CallerHash, HeadroomCheck Headroom) {
    CapLimiter_.addRequest(Plan_.Cap_);
    if (callerPosition(CallerHash, Plan_.Id_) >= Fraction_ * CapFactor_)
      return false;
    if (!CapLimiter_.mayMove()) {
      reduceCapFactor();
      return false;
    }
    if (!Headroom())
      return false;
    CapLimiter_.takeMove();
    return true;
  }

  const ShiftPlan &plan() const noexcept { return Plan_; }
  double fraction() const noexcept { return Fraction_; }

private:
  /// Moved callers send more than the cap allows: moves fewer of them.
  void reduceCapFactor() noexcept;
  void recoverCapFactor(base::TimePoint Now) noexcept;
  std::string_view advance(double Wanted, RegionsView &View,
                           base::TimePoint Now);
  std::string_view settledReason(double Wanted,
                                 base::WallPoint Wall) const noexcept;

  ShiftPlan Plan_;
  ShiftCapLimiter CapLimiter_;
  double Fraction_ = 0;
  /// Factor on Fraction_ that keeps the moved callers' requests under the cap.
  /// Without it the requests above the cap would be those of any moved caller,
  /// which would flap between regions; with it the callers at the edge go back
  /// and stay back.
  double CapFactor_ = 1;
  bool ReducedSinceTick_ = false;
  base::TimePoint CapFactorChangedAt_;
  std::optional<base::TimePoint> LastStep_;
};

} // namespace lychee::shifting

#endif
