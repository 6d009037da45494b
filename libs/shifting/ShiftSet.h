#ifndef LYCHEE_SHIFTING_SHIFTSET_H
#define LYCHEE_SHIFTING_SHIFTSET_H

#include "shifting/ShiftRunner.h"

#include <functional>
#include <span>
#include <vector>

namespace lychee::shifting {

/// Where a caller's request belongs after all plans, and why.
struct ShiftChoice {
  base::RegionId Region_;
  /// The plan that moved it; empty where none did.
  base::PlanId Plan_;
};

/// A plan's status, for operators.
struct PlanStatus {
  base::PlanId Plan_;
  ShiftStatus Status_;
};

/// All shifting plans of one service, and what they do together.
///
/// Load pattern: two plans into one region, with a failover at the same time.
/// Each fits by itself; together they overload it. Plans are stepped one after
/// another on what the earlier ones left of the receiver's free slots, and each
/// single request that is steered in, by whatever cause, takes a token of the
/// region's headroom, which no sum of causes exceeds. \see ShiftRunner::move
///
/// From one region, plans pick callers independently and in order of their
/// ids: each keeps its own cap, and the share that leaves is at most the sum.
/// A caller is moved once; a second plan does not move it on.
///
/// Not thread-safe: the owner guards it by its service's lock.
class ShiftSet {
public:
  /// \returns what is known of the regions that the plan moves between.
  using ViewOf = std::function<RegionsView(const base::RegionId &Receiver,
                                           const base::RegionId &Sender)>;
  /// Takes a token of the region's headroom where there is one.
  using HeadroomCheck = std::function<bool(const base::RegionId &)>;

  /// Sets the plans; what each has reached is kept by its id. A plan that is
  /// no longer there goes back at its own step and pace.
  void setPlans(std::span<const ShiftPlan> Plans);

  /// Begins where peers are, with a plan that this host does not know yet.
  void adoptPeerShare(const base::PlanId &Plan, double PeersFraction) noexcept;

  /// Steps all plans. To be called about once a second.
  std::vector<PlanStatus> tick(const ViewOf &View, base::TimePoint Now,
                               base::WallPoint Wall);

  /// \returns where the request of a caller of \p Home goes.
  ShiftChoice route(std::uint64_t CallerHash, const base::RegionId &Home,
                    const HeadroomCheck &Headroom);

  bool empty() const noexcept { return Runners_.empty(); }

private:
  /// In order of the plans' ids.
  std::vector<ShiftRunner> Runners_;
};

} // namespace lychee::shifting

#endif
