#include "shifting/ShiftSet.h"

#include <algorithm>
#include <map>

namespace lychee::shifting {

void ShiftSet::setPlans(std::span<const ShiftPlan> Plans) {
  std::vector<ShiftRunner> Updated;
  Updated.reserve(Plans.size() + Runners_.size());
  for (const ShiftPlan &Plan : Plans) {
    const auto Known = std::find_if(Runners_.begin(), Runners_.end(),
                                    [&Plan](const ShiftRunner &Runner) {
                                      return Runner.plan().Id_ == Plan.Id_;
                                    });
    if (Known == Runners_.end()) {
      Updated.emplace_back(Plan);
      continue;
    }
    Updated.push_back(*Known);
    Updated.back().replacePlan(Plan);
  }
  // A plan that was removed from the settings moves its callers back step by
  // step, like an aborted one: all of them at once would find cold caches.
  for (ShiftRunner &Runner : Runners_) {
    const bool Stays = std::any_of(Plans.begin(), Plans.end(),
                                   [&Runner](const ShiftPlan &Plan) {
                                     return Plan.Id_ == Runner.plan().Id_;
                                   });
    if (Stays || Runner.fraction() <= 0)
      continue;
    ShiftPlan Reverted = Runner.plan();
    Reverted.State_ = ShiftPlan::State::Aborted;
    Reverted.ReachedShare_ = 0;
    Runner.replacePlan(Reverted);
    Updated.push_back(Runner);
  }
  std::sort(Updated.begin(), Updated.end(),
            [](const ShiftRunner &Lhs, const ShiftRunner &Rhs) {
              return Lhs.plan().Id_ < Rhs.plan().Id_;
            });
  Runners_ = std::move(Updated);
}

void ShiftSet::adoptPeerShare(const base::PlanId &Plan,
                              double PeersFraction) noexcept {
  for (ShiftRunner &Runner : Runners_)
    if (Runner.plan().Id_ == Plan)
      Runner.adoptPeerShare(PeersFraction);
}

std::vector<PlanStatus> ShiftSet::tick(const RegionsViewProvider &View,
                                       base::TimePoint Now,
                                       base::WallPoint Wall) {
  std::vector<PlanStatus> Statuses;
  Statuses.reserve(Runners_.size());
  // Free slots that the plans stepped so far have left of each receiver.
  std::map<base::RegionId, std::optional<double>> FreeSlots;
  for (ShiftRunner &Runner : Runners_) {
    const ShiftPlan &Plan = Runner.plan();
    const bool IsMovingBack = plannedFraction(Plan, Wall) < Runner.fraction();
    const base::RegionId &Receiver = IsMovingBack ? Plan.From_ : Plan.To_;
    RegionsView Regions = View(Receiver, IsMovingBack ? Plan.To_ : Plan.From_);
    const auto [Free, IsFirst] =
        FreeSlots.try_emplace(Receiver, Regions.ReceiverFreeSlots_);
    Regions.ReceiverFreeSlots_ = Free->second;
    Statuses.push_back({Plan.Id_, Runner.tick(Regions, Now, Wall)});
    Free->second = Regions.ReceiverFreeSlots_;
  }
  return Statuses;
}

ShiftChoice ShiftSet::route(std::uint64_t CallerHash,
                            const base::RegionId &Home,
                            const HeadroomCheck &Headroom) {
  for (ShiftRunner &Runner : Runners_) {
    const ShiftPlan &Plan = Runner.plan();
    if (Plan.From_ != Home)
      continue;
    const auto HasHeadroom = [&Headroom, &Plan] { return Headroom(Plan.To_); };
    if (Runner.tryMove(CallerHash, HasHeadroom))
      return {Plan.To_, Plan.Id_};
  }
  return {Home, {}};
}

} // namespace lychee::shifting
