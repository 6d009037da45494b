#ifndef LYCHEE_SHIFTING_SHIFTPLAN_H
#define LYCHEE_SHIFTING_SHIFTPLAN_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>

namespace lychee::shifting {

/// An operator's wish to move callers from one region to another, as it stands
/// in the settings. Immutable; the operator's actions make a new one.
///
/// The moved share is a pure function of plan and wall time, so that every
/// host comes to the same one without a word between them, and a host that
/// starts in the middle knows it at once.
struct ShiftPlan {
  enum class State : std::uint8_t { Running, Held, Aborted };

  base::PlanId Id_;
  base::RegionId From_;
  base::RegionId To_;
  /// Largest share of From's requests that may be moved, 0 to 1.
  double Cap_ = 0;
  /// Share moved at each step, 0 to 1.
  double Step_ = 0;
  /// Time between two steps.
  base::Duration Pace_{};
  State State_ = State::Running;
  /// When the state began, and the share that was moved by then: the start
  /// and 0 until an operator acts.
  base::WallPoint StateSince_;
  double ReachedShare_ = 0;

  bool operator==(const ShiftPlan &) const = default;
};

/// \returns the share of From's callers that the plan wants moved at \p Now;
/// never above its cap.
double plannedFraction(const ShiftPlan &Plan, base::WallPoint Now) noexcept;

/// What an operator's actions make of a plan at \p Now. Each goes on from the
/// share reached, so that no action moves more than a step at once.
ShiftPlan holdPlan(const ShiftPlan &Plan, base::WallPoint Now);
ShiftPlan resumePlan(const ShiftPlan &Plan, base::WallPoint Now);
ShiftPlan abortPlan(const ShiftPlan &Plan, base::WallPoint Now);

/// \returns the caller's place in the plan, in [0, 1): it is moved while this
/// is below the moved share. So a caller moved at one share stays moved at any
/// greater one, a change of the share moves only the callers in between, and
/// two plans pick their callers independently.
double placeOf(std::uint64_t CallerHash, const base::PlanId &Plan) noexcept;

} // namespace lychee::shifting

#endif
