#include "shifting/ShiftRunner.h"

#include <algorithm>
#include <cmath>

namespace lychee::shifting {

namespace {

using State = ShiftPlan::State;

/// Shares closer than this are equal; sums of steps are not exact.
constexpr double Closeness = 1e-9;

} // namespace

void ShiftRunner::adopt(double PeersFraction) noexcept {
  Fraction_ = std::clamp(PeersFraction, 0.0, Plan_.Cap_);
}

void ShiftRunner::trim() noexcept {
  // A hundredth for each request above the cap: a share of callers that sends
  // a tenth too much is found within ten such requests.
  static constexpr double Kept = 0.99;
  WithinCap_ *= Kept;
  Trimmed_ = true;
}

void ShiftRunner::untrim(base::TimePoint Now) noexcept {
  // Slowly back, a fiftieth after each quiet half minute: callers at the edge
  // move at most that often.
  static constexpr base::Duration Quiet = std::chrono::seconds(30);
  static constexpr double Regained = 0.02;
  if (Trimmed_) {
    LastTrim_ = Now;
    Trimmed_ = false;
  }
  if (WithinCap_ >= 1 || Now - LastTrim_ < Quiet)
    return;
  WithinCap_ = std::min(1.0, WithinCap_ + Regained);
  LastTrim_ = Now;
}

ShiftStatus ShiftRunner::tick(RegionsView &View, base::TimePoint Now,
                              base::WallPoint Wall) {
  // A cap that an operator lowers holds at once, whatever the pace.
  Fraction_ = std::min(Fraction_, Plan_.Cap_);
  untrim(Now);
  const double Wanted = plannedFraction(Plan_, Wall);
  ShiftStatus Status;
  Status.Wanted_ = Wanted;
  const bool Settled = std::abs(Wanted - Fraction_) < Closeness;
  if (Settled)
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
  if (!View.ReceiverFreeSlots_ || Now - View.MeasuredAt_ > MeasurementAge)
    return "held-no-measurement";
  // What was measured before the last step does not show what it took.
  if (LastStep_ && View.MeasuredAt_ <= *LastStep_)
    return "held-no-measurement";

  const double SlotsOfAll =
      std::max(1.0, View.CallersSlots_) * std::max(1.0, View.ColdFactor_);
  const double Fits = *View.ReceiverFreeSlots_ * MostOfFree / SlotsOfAll;
  const double Missing = std::abs(Wanted - Fraction_);
  const double Step = std::min({Plan_.Step_, Missing, Fits});
  if (Step < std::min(Plan_.Step_ * SmallestStep, Missing))
    return "held-no-headroom";

  *View.ReceiverFreeSlots_ -= Step * SlotsOfAll;
  Fraction_ += Wanted > Fraction_ ? Step : -Step;
  LastStep_ = Now;
  return Plan_.State_ == State::Aborted ? "aborting" : "moving";
}

std::string_view
ShiftRunner::settledReason(double Wanted, base::WallPoint Wall) const noexcept {
  if (Wall < Plan_.StateSince_ && Plan_.State_ == State::Running)
    return "not-begun";
  if (Plan_.State_ == State::Aborted)
    return Wanted < Closeness ? "aborted" : "pace";
  if (Plan_.State_ == State::Held)
    return "held-by-operator";
  return Wanted + Closeness >= Plan_.Cap_ ? "done" : "pace";
}

} // namespace lychee::shifting
