#include "shifting/ShiftRunner.h"

#include <algorithm>
#include <cmath>

namespace lychee::shifting {

namespace {

using State = ShiftPlan::State;

/// Shares closer than this are equal; sums of steps are not exact.
constexpr double Epsilon = 1e-9;

} // namespace

void ShiftRunner::adoptPeerShare(double PeersFraction) noexcept {
  Fraction_ = std::clamp(PeersFraction, 0.0, Plan_.Cap_);
}

void ShiftRunner::reduceCapFactor() noexcept {
  // One percent for each request above the cap: a share of callers that sends a
  // tenth too much is corrected within ten such requests.
  static constexpr double ReductionFactor = 0.99;
  CapFactor_ *= ReductionFactor;
  ReducedSinceTick_ = true;
}

void ShiftRunner::recoverCapFactor(base::TimePoint Now) noexcept {
  // Recovers slowly, by 0.02 after each 30 s without a reduction: callers at
  // the edge move at most that often.
  static constexpr base::Duration RecoveryInterval = std::chrono::seconds(30);
  static constexpr double RecoveryStep = 0.02;
  if (ReducedSinceTick_) {
    CapFactorChangedAt_ = Now;
    ReducedSinceTick_ = false;
  }
  if (CapFactor_ >= 1 || Now - CapFactorChangedAt_ < RecoveryInterval)
    return;
  CapFactor_ = std::min(1.0, CapFactor_ + RecoveryStep);
  CapFactorChangedAt_ = Now;
}

ShiftStatus ShiftRunner::tick(RegionsView &View, base::TimePoint Now,
                              base::WallPoint Wall) {
  // A cap that an operator lowers applies at once, regardless of the pace.
  Fraction_ = std::min(Fraction_, Plan_.Cap_);
  recoverCapFactor(Now);
  const double Wanted = plannedFraction(Plan_, Wall);
  ShiftStatus Status;
  Status.Wanted_ = Wanted;
  const bool IsSettled = std::abs(Wanted - Fraction_) < Epsilon;
  if (IsSettled)
    Status.Reason_ = settledReason(Wanted, Wall);
  else if (Plan_.State_ == State::Held)
    Status.Reason_ = "held-by-operator";
  else
    Status.Reason_ = advance(Wanted, View, Now);
  Status.Fraction_ = Fraction_;
  return Status;
}

std::string_view ShiftRunner::advance(double Wanted, RegionsView &View,
                                      base::TimePoint Now) {
  if (LastStep_ && Now - *LastStep_ < Plan_.Pace_)
    return "pace";
  if (!View.ReceiverFreeSlots_ || Now - View.MeasuredAt_ > MaxMeasurementAge)
    return "held-no-measurement";
  // A measurement from before the last step does not show what that step took.
  if (LastStep_ && View.MeasuredAt_ <= *LastStep_)
    return "held-no-measurement";

  const double SlotsForAllCallers =
      std::max(1.0, View.CallersSlots_) * std::max(1.0, View.ColdFactor_);
  const double MaxStep =
      *View.ReceiverFreeSlots_ * MaxShareOfFreeSlots / SlotsForAllCallers;
  const double Remaining = std::abs(Wanted - Fraction_);
  const double Step = std::min({Plan_.Step_, Remaining, MaxStep});
  if (Step < std::min(Plan_.Step_ * MinStepShare, Remaining))
    return "held-no-headroom";

  *View.ReceiverFreeSlots_ -= Step * SlotsForAllCallers;
  Fraction_ += Wanted > Fraction_ ? Step : -Step;
  LastStep_ = Now;
  return Plan_.State_ == State::Aborted ? "aborting" : "moving";
}

std::string_view
ShiftRunner::settledReason(double Wanted, base::WallPoint Wall) const noexcept {
  if (Wall < Plan_.StateSince_ && Plan_.State_ == State::Running)
    return "not-begun";
  if (Plan_.State_ == State::Aborted)
    return Wanted < Epsilon ? "aborted" : "pace";
  if (Plan_.State_ == State::Held)
    return "held-by-operator";
  return Wanted + Epsilon >= Plan_.Cap_ ? "done" : "pace";
}

} // namespace lychee::shifting
