#ifndef LYCHEE_SHIFTING_SHIFTSET_H
#define LYCHEE_SHIFTING_SHIFTSET_H

#include "shifting/ShiftRunner.h"

#include <functional>
#include <span>
#include <vector>

namespace lychee::shifting {

/// The region for a caller's request after all plans, and the reason.
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

/// All shift plans of one service, and their combined effect.
///
/// Load pattern: two plans move callers into one region while a failover goes
/// there too. Each fits by itself; together they overload the region. Plans are
/// stepped one after another, each on the free slots of the receiver that the
/// earlier ones left, and every single request that is steered in, for whatever
/// reason, must pass the region's headroom check, so that the sum of all causes
/// stays within it. \see ShiftRunner::tryMove
///
/// Several plans from one region select callers independently, in the order of
/// their ids: each keeps its own cap, and the share that leaves is at most the
/// sum. A caller is moved once; a second plan does not move it on.
///
/// Not thread-safe: the owner guards it by the lock of its service.
class ShiftSet {
public:
  /// \returns the load of the regions that a plan moves callers between.
  using RegionsViewProvider = std::function<RegionsView(
      const base::RegionId &Receiver, const base::RegionId &Sender)>;
  /// \returns whether a region has headroom for one more request; may take a
  /// token of it.
  using HeadroomCheck = std::function<bool(const base::RegionId &)>;

  /// Sets the plans; the share that each has reached is kept by plan id. A
  /// removed plan is moved back at its own step and pace.
  void setPlans(std::span<const ShiftPlan> Plans);

  /// Sets the share reached of a plan that has just started on this host to
  /// what its peers have reached.
  void adoptPeerShare(const base::PlanId &Plan, double PeersFraction) noexcept;

  /// Steps all plans; to be called about once a second.
  std::vector<PlanStatus> tick(const RegionsViewProvider &View,
                               base::TimePoint Now, base::WallPoint Wall);

  /// \returns the region for a request of a caller of \p Home.
  ShiftChoice route(std::uint64_t CallerHash, const base::RegionId &Home,
                    const HeadroomCheck &Headroom);

  bool empty() const noexcept { return Runners_.empty(); }

private:
  /// Ordered by plan id.
  std::vector<ShiftRunner> Runners_;
};

} // namespace lychee::shifting

#endif
