#include "dispatch/TargetChooser.h"

#include "dispatch/ObjectOrder.h"

#include <algorithm>
#include <array>

namespace lychee::dispatch {

namespace {

/// What a place in the object's order adds, in parts of the usual work. A
/// target that is cold for the object takes 3.3 times as long, and pushes
/// another object out. The first place is where all hosts send first, so it is
/// warm or about to be; the second may have been warmed by another host.
constexpr std::array<double, 2> PlaceCost = {0, 1.0};
constexpr double ElsewhereCost = 2.3;
/// The same where this host knows that the target handled the object lately.
constexpr std::array<double, 2> WarmCost = {0, 0.1};

/// A target that fails a tenth of its requests costs as much as one that is
/// slower by FailureCost tenths: a failed request costs a second send.
constexpr double FailureCost = 4;

/// A target that is cold since it started takes twice as long.
constexpr double ColdCost = 1;

bool contains(std::span<const base::TargetId> All, const base::TargetId &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

bool mayServe(const ChoiceQuery &Asked, const TargetState &Each,
              base::TimePoint Now) {
  if (Each.Record_.Leaving_ || Each.Evacuated_ || Each.AddressTaken_ ||
      Each.Trust_.isOut(Now) || contains(Asked.Tried_, Each.Record_.Id_))
    return false;
  return Asked.Homes_ == nullptr ||
         std::find(Asked.Homes_->begin(), Asked.Homes_->end(), Each.Region_) !=
             Asked.Homes_->end();
}

bool needsSounding(const TargetState &Each, base::TimePoint Now) {
  return Now < Each.ColdUntil_ || Each.Trust_.isOnProbation(Now);
}

} // namespace

std::vector<TargetChooser::Candidate>
TargetChooser::rank(const ChoiceQuery &Asked, std::span<TargetState> Targets,
                    base::TimePoint Now) const {
  std::vector<Candidate> Ranked;
  Ranked.reserve(Targets.size());
  for (TargetState &Each : Targets)
    if (mayServe(Asked, Each, Now))
      Ranked.push_back(
          {&Each, placeOf(Asked.Object_, Each.Hash_, Each.Record_.Slots_), 0});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Place_ > Right.Place_;
            });
  // Each region has an order of its own, so that an object is warm in each.
  std::vector<std::pair<const base::RegionId *, std::size_t>> Counted;
  for (Candidate &Each : Ranked) {
    const auto Found =
        std::find_if(Counted.begin(), Counted.end(), [&Each](const auto &One) {
          return *One.first == Each.Target_->Region_;
        });
    if (Found == Counted.end())
      Counted.emplace_back(&Each.Target_->Region_, 1);
    else
      Each.Rank_ = Found->second++;
  }
  return Ranked;
}

Choice TargetChooser::reckon(const ChoiceQuery &Asked, const Candidate &Each,
                             base::TimePoint Now) const {
  const TargetState &Target = *Each.Target_;
  const double Work = base::toSeconds(Asked.UsualWork_);
  const double Slots = std::max(1U, Target.Record_.Slots_);
  const double Ahead = std::max(0.0, Target.Load_.at(Now) + 1 - Slots);
  const double Waiting = Ahead / Slots * Work * Target.Slowness_;
  const bool InPlace =
      Target.Region_ == Asked.Region_ && Each.Rank_ < PlaceCost.size();
  const double Place = Target.Warm_.isWarm(Asked.Object_, Now)
                           ? WarmCost[std::min<std::size_t>(Each.Rank_, 1)]
                       : InPlace ? PlaceCost[Each.Rank_]
                                 : ElsewhereCost;
  const double Cold = Now < Target.ColdUntil_ ? ColdCost : 0;
  double Total = Waiting + Work * Target.Slowness_ * (1 + Cold) + Work * Place +
                 Work * FailureCost * Target.Trust_.failureShare();
  if (Target.Region_ != Region_)
    Total += base::toSeconds(RegionTrip + RegionPrice) +
             base::toSeconds(RegionPricePerKilobyte) *
                 static_cast<double>(Asked.BodyBytes_) / 1024;
  else if (Target.Record_.Zone_ != Zone_)
    Total += base::toSeconds(ZonePrice);
  return {Each.Target_, base::fromSeconds(Total), base::fromSeconds(Waiting),
          Each.Rank_, Each.Rank_ < WarmPlaces ? "object-order" : "spill"};
}

std::optional<Choice>
TargetChooser::choose(const ChoiceQuery &Asked, std::span<TargetState> Targets,
                      const std::function<bool(TargetState &)> &MaySound,
                      base::TimePoint Now) const {
  std::vector<Choice> Reckoned;
  for (const Candidate &Each : rank(Asked, Targets, Now))
    Reckoned.push_back(reckon(Asked, Each, Now));
  std::sort(Reckoned.begin(), Reckoned.end(),
            [](const Choice &Left, const Choice &Right) {
              return Left.Expected_ < Right.Expected_;
            });
  for (const Choice &Each : Reckoned)
    if (!needsSounding(*Each.Target_, Now) || MaySound(*Each.Target_))
      return Each;
  return std::nullopt;
}

} // namespace lychee::dispatch
