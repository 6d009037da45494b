#ifndef LYCHEE_SHIFTING_SHIFTRUNNER_H
#define LYCHEE_SHIFTING_SHIFTRUNNER_H

#include "shifting/CapMeter.h"
#include "shifting/ShiftPlan.h"

#include <optional>
#include <string_view>

namespace lychee::shifting {

/// What is known of the two regions of a plan, over all hosts.
struct RegionsView {
  /// Slots that the region which would receive can still give to steered work;
  /// nothing where it is not measured.
  std::optional<double> ReceiverFreeSlots_;
  base::TimePoint MeasuredAt_;
  /// Slots that the callers of From take, moved or not.
  double CallersSlots_ = 0;
  /// \see ColdCost
  double ColdFactor_ = 1;
};

/// How a plan stands on this host, and why.
struct ShiftStatus {
  /// Share of From's callers that is moved now.
  double Fraction_ = 0;
  /// Share that the plan wants by now.
  double Wanted_ = 0;
  /// "not-begun", "moving", "pace", "done", "held-by-operator",
  /// "held-no-headroom", "held-no-measurement", "aborting", "aborted".
  std::string_view Reason_;
};

/// Carries a plan out on this host: follows the planned share as far as the
/// receiving region can take it.
///
/// Load pattern: a plan moves callers on while its receiver fills up or can no
/// longer be seen. Without a hold, the next steps overload it. A hold moves no
/// one back, as callers that are moved have warm caches where they are; it goes
/// on by single steps at the plan's pace, and never makes up for holdPlan time
/// in one jump.
///
/// Going back (an abort) is a move like any other: same step, same pace, and
/// only as far as From, whose caches have cooled, can take it.
///
/// Not thread-safe: the owner guards it by its service's lock.
class ShiftRunner {
public:
  /// Largest part of the receiver's free slots that one step may take. The
  /// rest is for its own callers' next burst, and for what other plans and
  /// failovers steer there before the next measurement.
  static constexpr double MostOfFree = 0.5;
  /// Steps below this part of the plan's own are not made: they would move
  /// too few to be measured.
  static constexpr double SmallestStep = 0.1;
  /// A measurement older than this is none. Load reports lag by up to a second
  /// on an ordinary day.
  static constexpr base::Duration MeasurementAge = std::chrono::seconds(3);

  explicit ShiftRunner(const ShiftPlan &Plan) : Plan_(Plan) {}

  /// Takes over a changed plan; the share reached stays.
  void replacePlan(const ShiftPlan &Plan) { Plan_ = Plan; }

  /// Begins where the others are, for a host that has just started: the least
  /// share that any of them has reached.
  void adopt(double PeersFraction) noexcept;

  /// Steps on where that is due. \p Free is lowered by the slots that the step
  /// will take, so that plans stepped one after another share it.
  ShiftStatus tick(RegionsView &View, base::TimePoint Now,
                   base::WallPoint Wall);

  /// Whether the caller's request goes to To; counts it against the cap.
  /// \param Headroom  asked last, as it may take a token: whether To can take
  /// one request more within the share that this host has of its headroom.
  template <typename HeadroomCheck>
  bool move(std::uint64_t CallerHash, HeadroomCheck Headroom) {
    Meter_.count(Plan_.Cap_);
    if (placeOf(CallerHash, Plan_.Id_) >= Fraction_ * WithinCap_)
      return false;
    if (!Meter_.mayMove()) {
      trim();
      return false;
    }
    if (!Headroom())
      return false;
    Meter_.moved();
    return true;
  }

  const ShiftPlan &plan() const noexcept { return Plan_; }
  double fraction() const noexcept { return Fraction_; }

private:
  /// Whoever is moved sends more than the cap allows: keep fewer of them.
  void trim() noexcept;
  void untrim(base::TimePoint Now) noexcept;
  std::string_view advance(double Wanted, RegionsView &View,
                           base::TimePoint Now);
  std::string_view settledReason(double Wanted,
                                 base::WallPoint Wall) const noexcept;

  ShiftPlan Plan_;
  CapMeter Meter_;
  double Fraction_ = 0;
  /// Part of Fraction_ whose requests fit under the cap. Without it, requests
  /// above the cap would be those of any moved caller, which would flap; so
  /// the callers at the edge go back, and stay back.
  double WithinCap_ = 1;
  bool Trimmed_ = false;
  base::TimePoint LastTrim_;
  std::optional<base::TimePoint> LastStep_;
};

} // namespace lychee::shifting

#endif
