#include "shifting/ShiftPlan.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace lychee::shifting {

namespace {

/// \returns the number of steps due at \p Now; the first is due at the start.
double stepsDue(const ShiftPlan &Plan, base::WallPoint Now) noexcept {
  if (Now < Plan.StateSince_)
    return 0;
  if (Plan.Pace_ <= base::Duration::zero())
    return 1;
  return std::floor(base::toSeconds(Now - Plan.StateSince_) /
                    base::toSeconds(Plan.Pace_)) +
         1;
}

ShiftPlan withState(const ShiftPlan &Plan, ShiftPlan::State State,
                    base::WallPoint Now) {
  ShiftPlan Changed = Plan;
  Changed.ReachedShare_ = plannedFraction(Plan, Now);
  Changed.State_ = State;
  // A plan that has not begun keeps its start.
  Changed.StateSince_ = std::max(Now, Plan.StateSince_);
  return Changed;
}

} // namespace

double plannedFraction(const ShiftPlan &Plan, base::WallPoint Now) noexcept {
  const double Moved = Plan.Step_ * stepsDue(Plan, Now);
  double Fraction = Plan.ReachedShare_;
  if (Plan.State_ == ShiftPlan::State::Running)
    Fraction += Moved;
  if (Plan.State_ == ShiftPlan::State::Aborted)
    Fraction -= Moved;
  return std::clamp(Fraction, 0.0, std::clamp(Plan.Cap_, 0.0, 1.0));
}

ShiftPlan holdPlan(const ShiftPlan &Plan, base::WallPoint Now) {
  return withState(Plan, ShiftPlan::State::Held, Now);
}

ShiftPlan resumePlan(const ShiftPlan &Plan, base::WallPoint Now) {
  return withState(Plan, ShiftPlan::State::Running, Now);
}

ShiftPlan abortPlan(const ShiftPlan &Plan, base::WallPoint Now) {
  return withState(Plan, ShiftPlan::State::Aborted, Now);
}

double callerPosition(std::uint64_t CallerHash,
                      const base::PlanId &Plan) noexcept {
  const std::uint64_t Hash = base::stableHash(Plan.name(), CallerHash);
  return static_cast<double>(Hash >> 11) * 0x1.0p-53;
}

} // namespace lychee::shifting
