#ifndef LYCHEE_ADMISSION_CAPACITYESTIMATE_H
#define LYCHEE_ADMISSION_CAPACITYESTIMATE_H

#include "base/Time.h"

namespace lychee::admission {

/// Work that was asked of a service, in slots over about the last second.
struct WorkPressure {
  double Asked_ = 0;
  /// Admitted to target selection.
  double Admitted_ = 0;
  /// Of the admitted work, refused for lack of capacity, or expected to be late
  /// because it waits.
  double Lacking_ = 0;
};

/// Estimates which part of the demand for a service can be served, from the
/// pressure of all hosts of a region.
///
/// Load pattern: demand exceeds what the targets can complete for some seconds.
/// Admitted work that lacks no capacity is what the targets complete while they
/// are full, so it measures their capacity whatever is admitted at the time;
/// adding up corrections instead would count each shortage several times, as it
/// stays in the measured second after admission was reduced, and the estimate
/// would oscillate. The estimate is kept in slots, not as a fraction of the
/// demand: when the demand falls again, the fraction rises at once, where a
/// rise of a few percent per second would refuse requests for ten seconds
/// although there is capacity.
///
/// Not thread-safe: part of its owner.
class CapacityEstimate {
public:
  /// Part of the admitted work that may lack capacity. Callers value a late
  /// answer at a fifth to a third of one in time, so at most a fifteenth of the
  /// answers is late; below it, random variation of the arrivals would reduce
  /// admission while the service is not full.
  static constexpr double TolerableShortage = 0.05;
  /// Time constant with which the estimate follows a shortage. Bursts of half a
  /// second may wait at the targets. While a queue drains, less is accepted
  /// than completed; with 500 ms the estimate fell to half of the capacity.
  static constexpr base::Duration FallTime = std::chrono::milliseconds(1500);
  /// Increase per second while nothing lacks capacity, less in proportion to
  /// the shortage.
  static constexpr double RisePerSecond = 0.2;
  /// Minimum part of the demand that is served. Without any, nothing would show
  /// that capacity is available again.
  static constexpr double MinShare = 0.05;
  /// The service is full until all demand was served for this long, so that
  /// random variation causes no state changes.
  static constexpr base::Duration ClearTime = std::chrono::seconds(2);
  /// Less work than this says nothing about the capacity: a single request.
  static constexpr double MinAskedSlots = 0.5;

  /// \param Region  sums over the hosts of the region.
  /// \param SlotShare  the fraction of the demand that the targets' slots can
  /// serve. The estimate never falls below it: in a region with few slots,
  /// requests wait at targets that others keep full, however few are admitted,
  /// and the estimate fell to 7% while other regions had free slots.
  void update(const WorkPressure &Region, double SlotShare,
              base::TimePoint Now) noexcept;

  /// Moves the share by \p Weight (0 to 1) of its distance to \p Share, which
  /// other hosts use. Enters the limited state if necessary.
  void approach(double Share, double Weight, base::TimePoint Now) noexcept;

  /// \returns the fraction of the demand that can be served, in (0, 1].
  double share() const noexcept;

  /// \returns whether the service lacks capacity, or did a moment ago.
  bool isLimited() const noexcept { return IsLimited_; }

private:
  bool IsLimited_ = false;
  /// Capacity and demand, in slots.
  double Slots_ = 0;
  double Asked_ = 0;
  double LeastShare_ = MinShare;
  base::TimePoint UpdatedAt_;
  /// Last time at which part of the demand could not be served.
  base::TimePoint ShortAt_;
};

} // namespace lychee::admission

#endif
