#ifndef LYCHEE_DISPATCH_TARGETCHOOSER_H
#define LYCHEE_DISPATCH_TARGETCHOOSER_H

#include "dispatch/ExecutionTimes.h"
#include "dispatch/RegionLoads.h"
#include "dispatch/ServiceSpeeds.h"
#include "dispatch/TargetState.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lychee::dispatch {

/// Properties of a request that the choice of its target depends on.
struct ChoiceQuery {
  std::uint64_t Object_ = 0;
  std::uint64_t BodyBytes_ = 0;
  /// Region in which it should run; elsewhere it counts as cold. \see
  /// RegionSplit
  base::RegionId Region_;
  /// Regions in which it may be served; null: any.
  const std::vector<base::RegionId> *Homes_ = nullptr;
  /// Targets that it was sent to before.
  std::span<const base::TargetId> TriedTargets_;
  /// The one target that it may go to; null: any.
  const base::TargetId *Only_ = nullptr;
  /// Execution times of its rule.
  ExecutionTimes ExecutionTimes_;
  /// Load of its service's targets; null: unknown.
  const RegionLoads *RegionLoads_ = nullptr;
  /// Speeds of its service's targets; null: all run as usual.
  const ServiceSpeeds *Speeds_ = nullptr;
};

/// A chosen target, and what is expected of it.
struct Choice {
  TargetState *Target_ = nullptr;
  base::Duration ExpectedResponseTime_{};
  /// Order of the candidates: the expected response time plus other costs to
  /// callers, expressed as time.
  base::Duration Cost_{};
  /// Part of ExpectedResponseTime_ spent waiting for a slot.
  base::Duration ExpectedWait_{};
  /// Rank in the object's order, within the target's region; 0 is the first.
  std::size_t Rank_ = 0;
  std::string_view Reason_;
  /// Estimated number of requests at the target.
  double Load_ = 0;
  /// Expected run time there, as a multiple of the usual one.
  double RunTimeFactor_ = 1;
};

/// Chooses the target with the lowest cost to callers, among the first few of
/// the object's own order in each region.
///
/// Load pattern: few slots per target, more demand in a region than it has
/// slots, and targets that are three times faster with an object they handled
/// recently. Choosing the least loaded of all targets would make every target
/// cold; keeping an object on its first target would build up a queue there. So
/// the response time is estimated for each candidate: its queue, its slowness,
/// the trip to its region, and whether the object is likely to be cold there.
///
/// A cold run costs more than its own time: it keeps a slot from requests that
/// run warm, and evicts another object, which then runs cold in turn. So a
/// penalty is added to its time (ColdRunPenalty), and a request whose preferred
/// targets are too busy to meet the deadline is refused rather than run cold
/// elsewhere.
class TargetChooser {
public:
  /// Ranks in an object's order, in its region, that count as warm for it: two,
  /// so that there is a second one where one is full. More would evict objects
  /// where a region has ten objects for each that a target keeps.
  static constexpr std::size_t WarmRanks = 2;
  /// Ranks in an object's order, in each region, that are tried before all
  /// others. If each host took the target that seems best to it, an object that
  /// lost its target would run cold at as many targets as there are hosts.
  static constexpr std::size_t PreferredRanks = 4;
  /// Penalty for a cold run, as a multiple of the time that it takes longer
  /// than a warm one: it keeps a slot from warm runs and evicts another object.
  /// Without a bound an object would starve beside free targets.
  static constexpr double ColdRunPenalty = 8;
  /// Probability that an object is cold at its second rank where this host does
  /// not know: other hosts may have warmed it.
  static constexpr double SecondRankColdProbability = 0.8;
  /// Round trip between regions: 20 ms each way, as deployments state.
  static constexpr base::Duration RegionRoundTrip =
      std::chrono::milliseconds(40);
  /// Penalties for crossing availability zones and regions, expressed as time:
  /// traffic is paid for by the byte, and links are shared.
  static constexpr base::Duration CrossZonePenalty =
      std::chrono::milliseconds(4);
  static constexpr base::Duration CrossRegionPenalty =
      std::chrono::milliseconds(10);
  static constexpr base::Duration CrossRegionPenaltyPerKilobyte =
      std::chrono::milliseconds(1);

  TargetChooser(base::RegionId Region, base::ZoneId Zone)
      : Region_(std::move(Region)), Zone_(std::move(Zone)) {}

  /// \returns whether the target is one that requests are sent to at all: it
  /// does not leave, its zone is not evacuated, and it is at its address.
  static bool isInUse(const TargetState &Target) noexcept;

  /// \returns whether the target's region is among \p Homes; null: any is.
  static bool isInHomes(const std::vector<base::RegionId> *Homes,
                        const TargetState &Target);

  /// \returns whether the target is in use and does not rest.
  static bool acceptsRequests(const TargetState &Target,
                              base::TimePoint Now) noexcept;

  /// \returns the time until the first of the targets that may serve the
  /// request ends its rest; nothing where one of them does not rest.
  /// \param Homes  regions in which it may be served; null: any.
  static std::optional<base::Duration>
  firstRestEnd(const std::vector<base::RegionId> *Homes,
               std::span<const TargetState> Targets, base::TimePoint Now);

  /// \returns the targets that come before \p Chosen in the object's order, in
  /// its region, and were passed over for what they state: MaxPassedOver at
  /// most.
  static std::vector<steering::PassedOverTarget>
  passedOverForStatements(std::uint64_t Object,
                          std::span<const TargetState> Targets,
                          const TargetState &Chosen, base::TimePoint Now);
  static constexpr std::size_t MaxPassedOver = 4;

  /// \returns whether only a few requests may be sent to the target, since it
  /// is cold or may have restarted.
  static bool needsProbe(const TargetState &Target,
                         base::TimePoint Now) noexcept;

  /// \param MayUse  whether a request may be sent now to a target that needs
  /// probing or states a rate; called only for such targets.
  /// \returns nothing where no target may take the request.
  std::optional<Choice> choose(const ChoiceQuery &Query,
                               std::span<TargetState> Targets,
                               const std::function<bool(TargetState &)> &MayUse,
                               base::TimePoint Now) const;

private:
  struct Candidate {
    TargetState *Target_ = nullptr;
    double Score_ = 0;
    std::size_t Rank_ = 0;
  };

  /// \returns the first target that may be sent to.
  static std::optional<Choice>
  firstUsable(std::span<const Choice> Ordered,
              const std::function<bool(TargetState &)> &MayUse,
              base::TimePoint Now);
  std::vector<Candidate> rank(const ChoiceQuery &Query,
                              std::span<TargetState> Targets,
                              base::TimePoint Now) const;
  double coldProbability(const ChoiceQuery &Query, const Candidate &Evaluated,
                         base::TimePoint Now) const;
  static double estimatedLoad(const ChoiceQuery &Query,
                              const TargetState &Target, base::TimePoint Now);
  Choice evaluate(const ChoiceQuery &Query, const Candidate &Evaluated,
                  base::TimePoint Now) const;

  const base::RegionId Region_;
  const base::ZoneId Zone_;
};

} // namespace lychee::dispatch

#endif
