#ifndef LYCHEE_SHIFTING_SHIFTPLAN_H
#define LYCHEE_SHIFTING_SHIFTPLAN_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>

namespace lychee::shifting {

/// An operator's plan to move callers from one region to another, as declared
/// in the settings. Immutable; the operator's actions make a new one.
///
/// The planned share is a pure function of plan and wall clock time: every host
/// computes the same share without communication, and a host that starts in the
/// middle of a plan knows it at once.
struct ShiftPlan {
  enum class State : std::uint8_t { Running, Held, Aborted };

  base::PlanId Id_;
  base::RegionId From_;
  base::RegionId To_;
  /// Maximum share of From's requests that may be moved, 0 to 1.
  double Cap_ = 0;
  /// Share moved by each step, 0 to 1.
  double Step_ = 0;
  /// Time between two steps.
  base::Duration Pace_{};
  State State_ = State::Running;
  /// Begin of the state, and the share that was moved by then: the plan's start
  /// and 0 until an operator acts.
  base::WallPoint StateSince_;
  double ReachedShare_ = 0;

  bool operator==(const ShiftPlan &) const = default;
};

/// \returns the share of From's callers that the plan moves at \p Now; never
/// above its cap.
double plannedFraction(const ShiftPlan &Plan, base::WallPoint Now) noexcept;

/// \returns the plan after an operator's action at \p Now. Each action
/// continues from the share reached, so that no action moves more than one step
/// at once.
ShiftPlan holdPlan(const ShiftPlan &Plan, base::WallPoint Now);
ShiftPlan resumePlan(const ShiftPlan &Plan, base::WallPoint Now);
ShiftPlan abortPlan(const ShiftPlan &Plan, base::WallPoint Now);

/// \returns the caller's position in the plan, in [0, 1): it is moved while
/// this is below the moved share. A caller that is moved at one share therefore
/// stays moved at any greater one, a change of the share moves only the callers
/// in between, and two plans select their callers independently.
double callerPosition(std::uint64_t CallerHash,
                      const base::PlanId &Plan) noexcept;

} // namespace lychee::shifting

#endif
