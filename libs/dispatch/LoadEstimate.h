#ifndef LYCHEE_DISPATCH_LOADESTIMATE_H
#define LYCHEE_DISPATCH_LOADESTIMATE_H

#include "base/Time.h"
#include "steering/Steering.h"

#include <cstdint>
#include <optional>

namespace lychee::dispatch {

/// Load that is assumed for a target without a recent report.
struct BaselineLoad {
  /// Requests of other hosts at the target.
  double OtherRequests_ = 0;
  /// Run time of one of them, in seconds.
  double RunSeconds_ = 0;
};

/// Estimates how many requests a target runs or queues, as seen by one of many
/// hosts.
///
/// Load pattern: hundreds of targets with a few slots each, used by dozens of
/// hosts, each of which sends to a given target once in many seconds. A host's
/// own count says next to nothing; the load that the target reported with its
/// last answer is exact, but holds only until the target has worked it off. So
/// own requests are counted, and the load of other hosts decays from the
/// reported one to the mean of the region as fast as the target can work it
/// off: a long queue is assumed to last longer than a short one.
///
/// Without that baseline, a target without a recent report would count as idle,
/// and requests that cannot be answered in time would wait in its queue.
/// \see RegionLoads
class LoadEstimate {
public:
  void recordSend() noexcept { ++OwnRequests_; }
  void recordEnd() noexcept { OwnRequests_ -= OwnRequests_ > 0 ? 1 : 0; }

  /// Takes a load report of the target. It includes own requests, except for
  /// the one just answered.
  void recordReport(const steering::TargetLoad &Load,
                    base::TimePoint Now) noexcept;

  /// The target refused a request because it is full: its \p Slots slots and
  /// its queue are taken.
  void recordRefusal(std::uint32_t Slots, base::TimePoint Now) noexcept;

  /// \returns the estimated number of requests at the target.
  double estimate(const BaselineLoad &Baseline,
                  base::TimePoint Now) const noexcept;

  /// \returns the time since the target last reported its load or refused as
  /// full; nothing: it has done neither.
  std::optional<base::Duration> reportAge(base::TimePoint Now) const noexcept {
    if (ReportedAt_ == base::TimePoint())
      return std::nullopt;
    return Now - ReportedAt_;
  }

  std::uint32_t ownRequests() const noexcept { return OwnRequests_; }
  /// \returns requests of other hosts per slot, as last reported.
  double othersPerSlot() const noexcept { return OtherRequests_ / Slots_; }

private:
  std::uint32_t OwnRequests_ = 0;
  double OtherRequests_ = 0;
  double Slots_ = 1;
  base::TimePoint ReportedAt_;
};

} // namespace lychee::dispatch

#endif
