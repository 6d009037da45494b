#ifndef LYCHEE_DISPATCH_TARGETCHOOSER_H
#define LYCHEE_DISPATCH_TARGETCHOOSER_H

#include "dispatch/RegionLoads.h"
#include "dispatch/TargetState.h"
#include "dispatch/WorkTimes.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lychee::dispatch {

/// One request, as far as the choice of its target needs it.
struct ChoiceQuery {
  std::uint64_t Object_ = 0;
  std::uint64_t BodyBytes_ = 0;
  /// Where it should run; elsewhere it counts as cold. \see RegionSplit
  base::RegionId Region_;
  /// Regions in which it may be served; null: in any.
  const std::vector<base::RegionId> *Homes_ = nullptr;
  /// Targets that it was sent to before.
  std::span<const base::TargetId> Tried_;
  /// How long requests of its rule run.
  WorkTimes Work_;
  /// How busy targets of its service are; null: nothing is known.
  const RegionLoads *Loads_ = nullptr;
};

/// A target and the time within which it should answer.
struct Choice {
  TargetState *Target_ = nullptr;
  base::Duration Expected_{};
  /// What candidates are ordered by: the time and, as time, what else the
  /// choice costs callers.
  base::Duration Cost_{};
  /// Part of Expected_ spent waiting for a slot.
  base::Duration Waiting_{};
  /// Place in the object's order, within its region.
  std::size_t Rank_ = 0;
  std::string_view Reason_;
  /// Requests that are reckoned to be at the target.
  double Load_ = 0;
};

/// Chooses the target that costs callers least, among the first few of the
/// object's own order in each region.
///
/// Load pattern: few slots a target, more demand in a region than it has slots,
/// and targets that are three times faster with an object they handled lately.
/// Taking the least loaded of all targets makes every target cold; holding on
/// to the object's first target makes a queue there. So the time a request
/// would take is reckoned for each candidate: its queue, its slowness, the way
/// to its region, and whether the object is likely to be cold there.
///
/// A cold run costs more than its own time: it keeps a slot from requests that
/// run warm, and pushes another object out, which then runs cold in turn. So
/// it has a price beside its time (ColdRunPrice), and a request whose place is
/// too full to make the deadline is refused rather than run cold elsewhere.
class TargetChooser {
public:
  /// Places in an object's order, in its region, that count as warm for it:
  /// two, so that one that is full has a second. More would push objects out
  /// where a region has ten objects for each that a target keeps.
  static constexpr std::size_t WarmPlaces = 2;
  /// Places in an object's order, in its region, that are tried before all
  /// others: where each host takes the target that seems best to it, an object
  /// that lost its place runs cold at as many targets as there are hosts.
  static constexpr std::size_t OwnPlaces = 4;
  /// Price of a cold run, in parts of what it takes longer than a warm one: it
  /// keeps a slot from warm runs and pushes another object out. Without bound
  /// an object would starve beside free targets.
  static constexpr double ColdRunPrice = 8;
  /// How likely an object is cold at its second place where this host does not
  /// know: other hosts may have warmed it.
  static constexpr double SecondPlaceCold = 0.8;
  /// There and back between regions, 20 ms each way (deployments' own figure).
  static constexpr base::Duration RegionTrip = std::chrono::milliseconds(40);
  /// What crossing zones and regions costs beside time, as time: bytes are
  /// paid for, and links are shared.
  static constexpr base::Duration ZonePrice = std::chrono::milliseconds(4);
  static constexpr base::Duration RegionPrice = std::chrono::milliseconds(10);
  static constexpr base::Duration RegionPricePerKilobyte =
      std::chrono::milliseconds(1);

  TargetChooser(base::RegionId Region, base::ZoneId Zone)
      : Region_(std::move(Region)), Zone_(std::move(Zone)) {}

  /// \param MaySound  whether this host is the one that sends to a target that
  /// is cold or may have restarted; asked only for such targets.
  /// \returns nothing where no target may take the request.
  std::optional<Choice>
  choose(const ChoiceQuery &Asked, std::span<TargetState> Targets,
         const std::function<bool(TargetState &)> &MaySound,
         base::TimePoint Now) const;

private:
  struct Candidate {
    TargetState *Target_ = nullptr;
    double Place_ = 0;
    std::size_t Rank_ = 0;
  };

  /// \returns the first that may be sent to.
  static std::optional<Choice>
  firstUsable(std::span<const Choice> Ordered,
              const std::function<bool(TargetState &)> &MaySound,
              base::TimePoint Now);
  std::vector<Candidate> rank(const ChoiceQuery &Asked,
                              std::span<TargetState> Targets,
                              base::TimePoint Now) const;
  double coldShare(const ChoiceQuery &Asked, const Candidate &Each,
                   base::TimePoint Now) const;
  static double loadAt(const ChoiceQuery &Asked, const TargetState &Target,
                       base::TimePoint Now);
  Choice reckon(const ChoiceQuery &Asked, const Candidate &Each,
                base::TimePoint Now) const;

  const base::RegionId Region_;
  const base::ZoneId Zone_;
};

} // namespace lychee::dispatch

#endif
