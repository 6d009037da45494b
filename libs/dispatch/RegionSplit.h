#ifndef LYCHEE_DISPATCH_REGIONSPLIT_H
#define LYCHEE_DISPATCH_REGIONSPLIT_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lychee::dispatch {

/// Room and demand of a region, for one service, in slots.
struct RegionLoad {
  double Slots_ = 0;
  /// Slots that the requests of the region's callers keep busy, wherever they
  /// run.
  double Demand_ = 0;
  /// Slots that requests keep busy which may run in this region only; they take
  /// its slots first.
  double Bound_ = 0;
};

/// Which part of a region's requests, for one service, runs in other regions.
///
/// Load pattern: callers are spread evenly over regions and targets are not; a
/// region with a third of the callers may have a tenth of the slots. Kept at
/// home, its requests wait; sent wherever it is emptiest at the moment, the
/// regions swing against each other, each with reports of the past.
///
/// So the part follows from demand and slots alone, both averaged over seconds
/// and the same at all hosts, and moves slowly. Which requests go is told by
/// their object's hash: an object stays where it is warm, and as the part moves
/// objects change region one by one.
class RegionSplit {
public:
  /// Slots are kept for requests that may run in one region only as if they
  /// kept them busy to this part: with 4 slots a target, few of them wait then.
  static constexpr double BoundUtilization = 0.8;
  /// A region keeps its requests up to this utilization. With 3 or 4 slots a
  /// target, half of the requests would wait at 0.8, and one in six at 0.6.
  static constexpr double KeptUtilization = 0.6;
  /// Part that may move in a second. Deployments bound moves to 15 in 100
  /// within 2 s; chance alone moves some 5.
  static constexpr double Pace = 0.03;
  /// The same right after slots came or went: a zone lost or taken back. What
  /// bound requests leave of them is no such change: as the first answers
  /// taught how long requests run it seemed to jump, and 35 in 100 of a
  /// region's requests moved within 2 s.
  static constexpr double FastPace = 0.3;
  static constexpr base::Duration FastTime = std::chrono::seconds(3);
  /// Slots that come or go together, as a part of all, that call for it.
  static constexpr double LargeChange = 0.1;
  /// Long bodies are the last to leave: what crosses regions is paid for.
  static constexpr double LargeBodyPart = 0.5;
  static constexpr std::uint64_t LargeBodyBytes = 16UL * 1024;

  explicit RegionSplit(base::RegionId Own) : Own_(std::move(Own)) {}

  /// Takes slots and demand of all regions. To be called every 250 ms.
  void update(const std::map<base::RegionId, RegionLoad> &Loads,
              base::TimePoint Now);

  /// \returns the region in which the request should run.
  /// \param Homes  regions in which it may run; null: all.
  base::RegionId regionFor(std::uint64_t Object, std::uint64_t BodyBytes,
                           const std::vector<base::RegionId> *Homes) const;

  /// \returns the part that leaves this host's region.
  double leaving() const noexcept { return Leaving_; }

private:
  struct Wanted {
    double Leaving_ = 0;
    std::map<base::RegionId, double> Spare_;
  };

  Wanted work(const std::map<base::RegionId, RegionLoad> &Loads) const;

  const base::RegionId Own_;
  double Leaving_ = 0;
  /// Weights of the other regions for what leaves.
  std::map<base::RegionId, double> Spare_;
  std::map<base::RegionId, double> Slots_;
  std::optional<base::TimePoint> Updated_;
  base::TimePoint FastUntil_;
};

} // namespace lychee::dispatch

#endif
