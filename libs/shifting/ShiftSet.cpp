#include "shifting/ShiftSet.h"

#include <algorithm>
#include <map>

namespace lychee::shifting {

void ShiftSet::setPlans(std::span<const ShiftPlan> Plans) {
  std::vector<ShiftRunner> Fresh;
  Fresh.reserve(Plans.size() + Runners_.size());
  for (const ShiftPlan &Plan : Plans) {
    const auto Known = std::find_if(Runners_.begin(), Runners_.end(),
                                    [&Plan](const ShiftRunner &Each) {
                                      return Each.plan().Id_ == Plan.Id_;
                                    });
    if (Known == Runners_.end()) {
      Fresh.emplace_back(Plan);
      continue;
    }
    Fresh.push_back(*Known);
    Fresh.back().replacePlan(Plan);
  }
  // A plan that was taken out of the settings goes back step by step like an
  // abortPlan one: all its callers at once would meet caches that have cooled.
  for (ShiftRunner &Each : Runners_) {
    const bool Stays =
        std::any_of(Plans.begin(), Plans.end(), [&Each](const ShiftPlan &Plan) {
          return Plan.Id_ == Each.plan().Id_;
        });
    if (Stays || Each.fraction() <= 0)
      continue;
    ShiftPlan GoingBack = Each.plan();
    GoingBack.State_ = ShiftPlan::State::Aborted;
    GoingBack.ReachedShare_ = 0;
    Each.replacePlan(GoingBack);
    Fresh.push_back(Each);
  }
  std::sort(Fresh.begin(), Fresh.end(),
            [](const ShiftRunner &Left, const ShiftRunner &Right) {
              return Left.plan().Id_ < Right.plan().Id_;
            });
  Runners_ = std::move(Fresh);
}

void ShiftSet::adoptPeerShare(const base::PlanId &Plan,
                              double PeersFraction) noexcept {
  for (ShiftRunner &Each : Runners_)
    if (Each.plan().Id_ == Plan)
      Each.adopt(PeersFraction);
}

std::vector<PlanStatus> ShiftSet::tick(const ViewOf &View, base::TimePoint Now,
                                       base::WallPoint Wall) {
  std::vector<PlanStatus> All;
  All.reserve(Runners_.size());
  // What the plans stepped so far have left of each receiver.
  std::map<base::RegionId, std::optional<double>> Left;
  for (ShiftRunner &Each : Runners_) {
    const ShiftPlan &Plan = Each.plan();
    const bool Back = plannedFraction(Plan, Wall) < Each.fraction();
    const base::RegionId &Receiver = Back ? Plan.From_ : Plan.To_;
    RegionsView Known = View(Receiver, Back ? Plan.To_ : Plan.From_);
    const auto [Place, First] =
        Left.try_emplace(Receiver, Known.ReceiverFreeSlots_);
    Known.ReceiverFreeSlots_ = Place->second;
    All.push_back({Plan.Id_, Each.tick(Known, Now, Wall)});
    Place->second = Known.ReceiverFreeSlots_;
  }
  return All;
}

ShiftChoice ShiftSet::route(std::uint64_t CallerHash,
                            const base::RegionId &Home,
                            const HeadroomCheck &Headroom) {
  for (ShiftRunner &Each : Runners_) {
    const ShiftPlan &Plan = Each.plan();
    if (Plan.From_ != Home)
      continue;
    const auto HasHeadroom = [&Headroom, &Plan] { return Headroom(Plan.To_); };
    if (Each.move(CallerHash, HasHeadroom))
      return {Plan.To_, Plan.Id_};
  }
  return {Home, {}};
}

} // namespace lychee::shifting
