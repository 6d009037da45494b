#ifndef LYCHEE_DISPATCH_REGIONSPLIT_H
#define LYCHEE_DISPATCH_REGIONSPLIT_H

#include "base/Id.h"
#include "base/Time.h"
#include "dispatch/DecayingRate.h"
#include "dispatch/DemandForecast.h"
#include "dispatch/RuleShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lychee::dispatch {

/// Capacity and demand of a region for one service, in slots.
struct RegionLoad {
  double Slots_ = 0;
  /// Slots kept busy by requests of the region's callers that may run in any
  /// region, wherever they run.
  double Demand_ = 0;
  /// Slots kept busy by requests that may run in this region only; they take
  /// its slots first.
  double BoundDemand_ = 0;
};

/// Decides which share of a region's requests, for one service, runs in other
/// regions.
///
/// Load pattern: callers are spread evenly over regions and targets are not; a
/// region with a third of the callers may have a tenth of the slots. Kept in
/// their region, its requests wait; sent to the region that is least loaded at
/// the moment, the regions oscillate, each by outdated reports.
///
/// So the share follows from demand and slots alone, both averaged over seconds
/// and the same at all hosts, and changes slowly. Which requests leave is
/// decided by the hash of their object: an object stays where it is warm, and
/// as the share changes objects move between regions one by one.
///
/// Where the demand of regions varies in waves, a leading split computes the
/// share from the forecast demand, moves it faster, and sends long requests
/// away first. \see DemandForecast, RuleShares
class RegionSplit {
public:
  /// Slots are reserved for requests that are bound to one region as if these
  /// kept them busy to this utilization: with 4 slots per target, few of them
  /// wait then.
  static constexpr double BoundUtilization = 0.8;
  /// A region keeps its requests up to this utilization. With 3 or 4 slots per
  /// target, half of the requests would wait at 0.8, and one in six at 0.6.
  static constexpr double LocalUtilization = 0.6;
  /// Maximum change of the share per second. Deployments bound moves to 15 in
  /// 100 within 2 s; random variation alone moves about 5.
  static constexpr double MaxChangePerSecond = 0.03;
  /// The same right after slots were added or removed, such as those of an
  /// availability zone that was lost or restored. The slots that bound requests
  /// leave free do not count: they seem to jump as the first answers show how
  /// long requests run, and 35 in 100 of a region's requests moved within 2 s.
  static constexpr double MaxFastChangePerSecond = 0.3;
  static constexpr base::Duration FastChangeTime = std::chrono::seconds(3);
  /// Maximum part of the requests that a leading split moves per second, to and
  /// from this region and between destinations: 8 in 100 within 2 s, beside 5
  /// that random variation moves, of 15 that are allowed. In waves that change
  /// a region's demand by 10% a second, a share of a half changes by 5.
  static constexpr double MaxLeadingChangePerSecond = 0.04;
  /// A host that was frozen for longer does not make up for the time.
  static constexpr base::Duration MaxLeadingStepTime =
      std::chrono::milliseconds(500);
  /// Time by which the demand of regions is outdated when it arrives: the time
  /// over which it is averaged, and half of the interval of the heartbeats that
  /// it is summed from; for other regions also half of that of their updates.
  static constexpr base::Duration OwnDemandLag =
      DecayingRate::DecayTime + std::chrono::milliseconds(250);
  static constexpr base::Duration OtherDemandLag =
      OwnDemandLag + std::chrono::milliseconds(250);
  /// Share of all slots that must change at once for this to apply.
  static constexpr double LargeSlotChange = 0.1;
  /// Factor on the share for requests with large bodies, which are the last to
  /// leave: traffic between regions is paid for.
  static constexpr double LargeBodyFactor = 0.5;
  static constexpr std::uint64_t LargeBodyBytes = 16UL * 1024;

  /// \param IsLeading  follows the forecast demand.
  explicit RegionSplit(base::RegionId OwnRegion, bool IsLeading = false)
      : OwnRegion_(std::move(OwnRegion)), IsLeading_(IsLeading) {}

  /// Counts a request of this host's callers that may run in any region.
  void recordRequest(std::string_view Rule, double RunSeconds) {
    if (IsLeading_)
      RuleShares_.recordRequest(Rule, RunSeconds, SpilloverShare_);
  }

  /// Takes slots and demand of all regions. To be called every 250 ms.
  void update(const std::map<base::RegionId, RegionLoad> &Loads,
              base::TimePoint Now);

  /// \returns the region in which the request should run.
  /// \param Homes  regions in which it may run; null: all.
  base::RegionId regionFor(std::uint64_t Object, std::uint64_t BodyBytes,
                           const std::vector<base::RegionId> *Homes,
                           std::string_view Rule = {}) const;

  /// \returns the share of requests that leaves this host's region, 0 to 1; of
  /// a leading split, the share of their work.
  double spilloverShare() const noexcept { return SpilloverShare_; }

private:
  struct DesiredSplit {
    double SpilloverShare_ = 0;
    std::map<base::RegionId, double> SpareSlots_;
  };

  DesiredSplit
  computeDesired(const std::map<base::RegionId, RegionLoad> &Loads) const;
  /// \returns the loads with the demand that is expected.
  std::map<base::RegionId, RegionLoad>
  forecast(const std::map<base::RegionId, RegionLoad> &Loads,
           base::TimePoint Now);
  /// \returns the weights of the other regions to aim at; empty: none has free
  /// slots.
  std::map<base::RegionId, double>
  desiredWeights(const DesiredSplit &Desired) const;
  /// Moves the shares of the rules and the weights of the other regions towards
  /// the desired ones.
  /// \param Step  the maximum part of the requests that changes region.
  void moveTowards(const DesiredSplit &Desired, double Step,
                   base::TimePoint Now);

  struct Forecasts {
    DemandForecast Demand_;
    DemandForecast BoundDemand_;
  };

  const base::RegionId OwnRegion_;
  const bool IsLeading_;
  double SpilloverShare_ = 0;
  /// Weights of the other regions as destinations of what leaves.
  std::map<base::RegionId, double> SpilloverWeights_;
  std::map<base::RegionId, double> Slots_;
  std::optional<base::TimePoint> UpdatedAt_;
  base::TimePoint FastUntil_;
  /// Of a leading split only.
  std::map<base::RegionId, Forecasts> Forecasts_;
  RuleShares RuleShares_;
};

} // namespace lychee::dispatch

#endif
