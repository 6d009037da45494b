#include "dispatch/TargetChooser.h"

#include "dispatch/ObjectOrder.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// A second place that this host knows to be warm costs a little: the first is
/// where other hosts send, and keeps the object for longer.
constexpr double KnownSecondCold = 0.04;

/// A target that fails a tenth of its requests costs as much as one that is
/// slower by FailureCost tenths: a failed request costs a second send.
constexpr double FailureCost = 4;

/// A target that fails a twentieth more than it may costs as much as a place
/// where the object is cold: it is left, and nearly at once, since to go back
/// and forth between two places makes both cold.
constexpr double ExcessCost = 20;

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

/// \returns how likely the run is cold, 0 to 1.
double TargetChooser::coldShare(const ChoiceQuery &Asked, const Candidate &Each,
                                base::TimePoint Now) const {
  if (Each.Target_->Warm_.isWarm(Asked.Object_, Now))
    return Each.Rank_ == 0 ? 0 : KnownSecondCold;
  if (Each.Target_->Region_ != Asked.Region_ || Each.Rank_ >= WarmPlaces)
    return 1;
  return Each.Rank_ == 0 ? 0 : SecondPlaceCold;
}

double TargetChooser::loadAt(const ChoiceQuery &Asked,
                             const TargetState &Target, base::TimePoint Now) {
  UsualLoad Usual;
  Usual.RunSeconds_ = Asked.Work_.usualSeconds();
  if (Asked.Loads_ != nullptr)
    Usual.Others_ =
        Asked.Loads_->othersPerSlot(Target.Region_, Usual.RunSeconds_, Now) *
        Target.Record_.Slots_;
  return Target.Load_.at(Usual, Now);
}

Choice TargetChooser::reckon(const ChoiceQuery &Asked, const Candidate &Each,
                             base::TimePoint Now) const {
  const TargetState &Target = *Each.Target_;
  const double Usual = Asked.Work_.usualSeconds();
  const double Slots = std::max(1U, Target.Record_.Slots_);
  const double Load = loadAt(Asked, Target, Now);
  const double Ahead = std::max(0.0, Load + 1 - Slots);
  const double Waiting = Ahead / Slots * Usual * Target.Slowness_;
  const double Gain = Asked.Work_.coldSeconds() - Asked.Work_.warmSeconds();
  const double Longer = coldShare(Asked, Each, Now) * Gain;
  const double ColdPlace = Asked.Work_.coldSeconds() + Gain * ColdRunPrice;
  const double Start = Now < Target.ColdUntil_ ? ColdCost : 0;
  const double Run = (Asked.Work_.warmSeconds() + Longer) * Target.Slowness_;
  double Time = Waiting + Run * (1 + Start);
  double Price = Longer * ColdRunPrice +
                 Usual * FailureCost * Target.Trust_.failureShare() +
                 ColdPlace * ExcessCost * Target.Trust_.excess();
  if (Target.Region_ != Region_) {
    Time += base::toSeconds(RegionTrip);
    Price += base::toSeconds(RegionPrice) +
             base::toSeconds(RegionPricePerKilobyte) *
                 static_cast<double>(Asked.BodyBytes_) / 1024;
  } else if (Target.Record_.Zone_ != Zone_) {
    Price += base::toSeconds(ZonePrice);
  }
  return {Each.Target_,
          base::fromSeconds(Time),
          base::fromSeconds(Time + Price),
          base::fromSeconds(Waiting),
          Each.Rank_,
          Each.Rank_ < WarmPlaces ? "object-order" : "spill",
          Load};
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
              return Left.Cost_ < Right.Cost_;
            });
  const auto Rest = std::stable_partition(
      Reckoned.begin(), Reckoned.end(),
      [](const Choice &Each) { return Each.Rank_ < OwnPlaces; });
  const std::span<const Choice> All(Reckoned);
  const auto Own = static_cast<std::size_t>(Rest - Reckoned.begin());
  if (const auto Chosen = firstUsable(All.first(Own), MaySound, Now))
    return Chosen;
  return firstUsable(All.subspan(Own), MaySound, Now);
}

std::optional<Choice>
TargetChooser::firstUsable(std::span<const Choice> Ordered,
                           const std::function<bool(TargetState &)> &MaySound,
                           base::TimePoint Now) {
  for (const Choice &Each : Ordered)
    if (!needsSounding(*Each.Target_, Now) || MaySound(*Each.Target_))
      return Each;
  return std::nullopt;
}

} // namespace lychee::dispatch
