#ifndef LYCHEE_SHIFTING_COLDCOST_H
#define LYCHEE_SHIFTING_COLDCOST_H

#include "base/Time.h"

namespace lychee::shifting {

/// How much more a moved request costs its receiving region than one of its
/// own callers: callers arrive at cold caches.
///
/// Load pattern: a step that fits the receiver's headroom at the usual cost
/// takes twice the slots at first. Without this, each step of a large move
/// overloads its receiver until the caches are warm. The factor makes steps
/// smaller and charges more headroom while it is high, and falls as measured.
///
/// Not measured: taken to be Unmeasured. Not measured of late: goes back there,
/// as a cache forgets callers that no longer come.
///
/// Not thread-safe: part of its owner.
class ColdCost {
public:
  /// A first guess on the safe side: a miss costs the fetch besides the work.
  static constexpr double Unmeasured = 2;
  /// A measured factor is within this; outliers are slowness of other causes.
  static constexpr double Highest = 8;
  /// Time after which a cache has forgotten half of what it holdPlan.
  static constexpr base::Duration HalfForgotten = std::chrono::minutes(10);

  /// One of the receiver's own callers' requests took \p Took.
  void ownTook(base::Duration Took) noexcept;

  /// A moved caller's request took \p Took there.
  void movedTook(base::Duration Took, base::TimePoint Now) noexcept;

  double factor(base::TimePoint Now) const noexcept;

private:
  base::Duration Own_{};
  base::Duration Moved_{};
  base::TimePoint LastMoved_;
};

} // namespace lychee::shifting

#endif
