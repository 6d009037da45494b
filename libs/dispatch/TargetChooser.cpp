#include "dispatch/TargetChooser.h"

#include "dispatch/RendezvousHash.h"

#include <algorithm>

namespace lychee::dispatch {

namespace {

/// Probability that an object is cold at its second rank where this host knows
/// it to be warm: a small one, since the first is where other hosts send, and
/// keeps the object for longer.
constexpr double KnownSecondRankColdProbability = 0.04;

/// A target that fails a tenth of its requests costs as much as one that is
/// slower by FailurePenalty tenths: a failed request costs a second send.
constexpr double FailurePenalty = 4;

/// A target that fails a twentieth more than is tolerated costs as much as one
/// where the object is cold. Its objects leave it nearly at once, since moving
/// back and forth between two targets makes both cold.
constexpr double ExcessFailurePenalty = 20;

/// Additional run time at a target that is cold since its start, relative to
/// the usual one: it takes twice as long.
constexpr double ColdStartSlowdown = 1;

bool contains(std::span<const base::TargetId> Targets,
              const base::TargetId &Target) {
  return std::find(Targets.begin(), Targets.end(), Target) != Targets.end();
}

bool mayServe(const ChoiceQuery &Query, const TargetState &Target,
              base::TimePoint Now) {
  return TargetChooser::acceptsRequests(Target, Now) &&
         !Target.Health_.isEjected(Now) &&
         !contains(Query.TriedTargets_, Target.Record_.Id_) &&
         TargetChooser::isInHomes(Query.Homes_, Target);
}

bool isRestricted(const TargetState &Target, base::TimePoint Now) {
  return TargetChooser::needsProbe(Target, Now) || Target.statesRate();
}

} // namespace

bool TargetChooser::isInUse(const TargetState &Target) noexcept {
  return !Target.isLeaving() && !Target.Evacuated_ && !Target.AddressReused_;
}

bool TargetChooser::isInHomes(const std::vector<base::RegionId> *Homes,
                              const TargetState &Target) {
  return Homes == nullptr || std::find(Homes->begin(), Homes->end(),
                                       Target.Region_) != Homes->end();
}

bool TargetChooser::acceptsRequests(const TargetState &Target,
                                    base::TimePoint Now) noexcept {
  return isInUse(Target) && !Target.isResting(Now);
}

std::optional<base::Duration>
TargetChooser::firstRestEnd(const std::vector<base::RegionId> *Homes,
                            std::span<const TargetState> Targets,
                            base::TimePoint Now) {
  std::optional<base::Duration> First;
  for (const TargetState &Target : Targets) {
    if (!isInUse(Target) || !isInHomes(Homes, Target))
      continue;
    if (!Target.isResting(Now))
      return std::nullopt;
    const base::Duration Left = Target.Stated_->restUntil() - Now;
    First = std::min(First.value_or(Left), Left);
  }
  return First;
}

std::vector<steering::PassedOverTarget> TargetChooser::passedOverForStatements(
    std::uint64_t Object, std::span<const TargetState> Targets,
    const TargetState &Chosen, base::TimePoint Now) {
  std::vector<steering::PassedOverTarget> Result;
  const auto Score = [Object](const TargetState &Target) {
    return rendezvousScore(Object, Target.Hash_, Target.Record_.Slots_);
  };
  for (const TargetState &Target : Targets) {
    if (!Target.Stated_ || Target.Stated_->acceptsRequests(Now) ||
        Target.Region_ != Chosen.Region_ || Score(Target) < Score(Chosen))
      continue;
    Result.push_back({Target.Record_.Id_,
                      Target.Stated_->isLeaving() ? "says-leaving" : "rests"});
    if (Result.size() == MaxPassedOver)
      break;
  }
  return Result;
}

bool TargetChooser::needsProbe(const TargetState &Target,
                               base::TimePoint Now) noexcept {
  return Now < Target.ColdUntil_ || Target.Health_.isOnProbation(Now);
}

std::vector<TargetChooser::Candidate>
TargetChooser::rank(const ChoiceQuery &Query, std::span<TargetState> Targets,
                    base::TimePoint Now) const {
  std::vector<Candidate> Ranked;
  Ranked.reserve(Targets.size());
  for (TargetState &Current : Targets)
    if (mayServe(Query, Current, Now))
      Ranked.push_back({&Current,
                        rendezvousScore(Query.Object_, Current.Hash_,
                                        Current.Record_.Slots_),
                        0});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Score_ > Right.Score_;
            });
  // Each region has an order of its own, so that an object is warm in each.
  std::vector<std::pair<const base::RegionId *, std::size_t>> RankCounts;
  for (Candidate &Current : Ranked) {
    const auto Found = std::find_if(
        RankCounts.begin(), RankCounts.end(), [&Current](const auto &Entry) {
          return *Entry.first == Current.Target_->Region_;
        });
    if (Found == RankCounts.end())
      RankCounts.emplace_back(&Current.Target_->Region_, 1);
    else
      Current.Rank_ = Found->second++;
  }
  return Ranked;
}

/// \returns the probability that the run is cold, 0 to 1.
double TargetChooser::coldProbability(const ChoiceQuery &Query,
                                      const Candidate &Evaluated,
                                      base::TimePoint Now) const {
  if (Evaluated.Target_->RecentObjects_.contains(Query.Object_, Now))
    return Evaluated.Rank_ == 0 ? 0 : KnownSecondRankColdProbability;
  if (Evaluated.Target_->Region_ != Query.Region_ ||
      Evaluated.Rank_ >= WarmRanks)
    return 1;
  return Evaluated.Rank_ == 0 ? 0 : SecondRankColdProbability;
}

double TargetChooser::estimatedLoad(const ChoiceQuery &Query,
                                    const TargetState &Target,
                                    base::TimePoint Now) {
  BaselineLoad Baseline;
  Baseline.RunSeconds_ = Query.ExecutionTimes_.meanSeconds();
  if (Query.RegionLoads_ != nullptr)
    Baseline.OtherRequests_ = Query.RegionLoads_->othersPerSlot(
                                  Target.Region_, Baseline.RunSeconds_, Now) *
                              Target.Record_.Slots_;
  return Target.Load_.estimate(Baseline, Now);
}

Choice TargetChooser::evaluate(const ChoiceQuery &Query,
                               const Candidate &Evaluated,
                               base::TimePoint Now) const {
  const TargetState &Target = *Evaluated.Target_;
  const double MeanRun = Query.ExecutionTimes_.meanSeconds();
  const double Slots = std::max(1U, Target.Record_.Slots_);
  const double Load = estimatedLoad(Query, Target, Now);
  const double Ahead = std::max(0.0, Load + 1 - Slots);
  const double Factor = Query.Speeds_ != nullptr
                            ? Query.Speeds_->expected(Target.Speed_, Now)
                            : 1;
  const double Slowness = Target.Slowness_ * Factor;
  const double Waiting = Ahead / Slots * MeanRun * Slowness;
  const double WarmGain =
      Query.ExecutionTimes_.coldSeconds() - Query.ExecutionTimes_.warmSeconds();
  const double ExpectedColdTime =
      coldProbability(Query, Evaluated, Now) * WarmGain;
  const double ColdCost =
      Query.ExecutionTimes_.coldSeconds() + WarmGain * ColdRunPenalty;
  const double StartSlowdown = Now < Target.ColdUntil_ ? ColdStartSlowdown : 0;
  const double Run =
      (Query.ExecutionTimes_.warmSeconds() + ExpectedColdTime) * Slowness;
  double Time = Waiting + Run * (1 + StartSlowdown);
  double Penalty =
      ExpectedColdTime * ColdRunPenalty +
      MeanRun * FailurePenalty * Target.Health_.failureShare() +
      ColdCost * ExcessFailurePenalty * Target.Health_.excessFailureShare();
  if (Target.Region_ != Region_) {
    Time += base::toSeconds(RegionRoundTrip);
    Penalty += base::toSeconds(CrossRegionPenalty) +
               base::toSeconds(CrossRegionPenaltyPerKilobyte) *
                   static_cast<double>(Query.BodyBytes_) / 1024;
  } else if (Target.Record_.Zone_ != Zone_) {
    Penalty += base::toSeconds(CrossZonePenalty);
  }
  return {Evaluated.Target_,
          base::fromSeconds(Time),
          base::fromSeconds(Time + Penalty),
          base::fromSeconds(Waiting),
          Evaluated.Rank_,
          Evaluated.Rank_ < WarmRanks ? "object-order" : "spill",
          Load,
          Factor};
}

std::optional<Choice>
TargetChooser::choose(const ChoiceQuery &Query, std::span<TargetState> Targets,
                      const std::function<bool(TargetState &)> &MayUse,
                      base::TimePoint Now) const {
  std::vector<Choice> Choices;
  for (const Candidate &Option : rank(Query, Targets, Now))
    if (Query.Only_ == nullptr || Option.Target_->Record_.Id_ == *Query.Only_)
      Choices.push_back(evaluate(Query, Option, Now));
  std::sort(Choices.begin(), Choices.end(),
            [](const Choice &Left, const Choice &Right) {
              return Left.Cost_ < Right.Cost_;
            });
  const auto Rest = std::stable_partition(
      Choices.begin(), Choices.end(),
      [](const Choice &Option) { return Option.Rank_ < PreferredRanks; });
  const std::span<const Choice> All(Choices);
  const auto Preferred = static_cast<std::size_t>(Rest - Choices.begin());
  if (const auto Chosen = firstUsable(All.first(Preferred), MayUse, Now))
    return Chosen;
  return firstUsable(All.subspan(Preferred), MayUse, Now);
}

std::optional<Choice>
TargetChooser::firstUsable(std::span<const Choice> Ordered,
                           const std::function<bool(TargetState &)> &MayUse,
                           base::TimePoint Now) {
  for (const Choice &Option : Ordered)
    if (!isRestricted(*Option.Target_, Now) || MayUse(*Option.Target_))
      return Option;
  return std::nullopt;
}

} // namespace lychee::dispatch
