#ifndef LYCHEE_DISPATCH_LOADESTIMATE_H
#define LYCHEE_DISPATCH_LOADESTIMATE_H

#include "base/Time.h"
#include "steering/Steering.h"

#include <cstdint>
#include <optional>

namespace lychee::dispatch {

/// What a host expects of a target that it has not heard of lately.
struct UsualLoad {
  /// Requests of other hosts at the target.
  double Others_ = 0;
  /// How long one of them runs, in seconds.
  double RunSeconds_ = 0;
};

/// How many requests a target works on or holds, as far as one of many hosts
/// can tell.
///
/// Load pattern: hundreds of targets with a few slots each, used by dozens of
/// hosts, each of which sends to one of them once in many seconds. A host's own
/// count says next to nothing; what the target reported with its last answer is
/// exact, but holds only until the target has worked that off. So the own part
/// is counted, and the others' is what was reported, which gives way to what is
/// usual in the region as fast as the target can work it off: a long queue is
/// believed for longer than a short one.
///
/// Without the usual load, a target that was not heard of counts as idle, and
/// requests that cannot be answered in time wait in its queue.
/// \see RegionLoads
class LoadEstimate {
public:
  void sent() noexcept { ++Own_; }
  void ended() noexcept { Own_ -= Own_ > 0 ? 1 : 0; }

  /// The target told its load; own requests, but for the one just answered,
  /// are in it.
  void reported(const steering::TargetLoad &Told, base::TimePoint Now) noexcept;

  /// The target refused since it is full: \p Slots and its queue are taken.
  void refused(std::uint32_t Slots, base::TimePoint Now) noexcept;

  /// \returns the requests at the target now.
  double at(const UsualLoad &Usual, base::TimePoint Now) const noexcept;

  /// \returns the age of the target's last word on its load, where it said any.
  std::optional<base::Duration> age(base::TimePoint Now) const noexcept {
    if (Reported_ == base::TimePoint())
      return std::nullopt;
    return Now - Reported_;
  }

  std::uint32_t own() const noexcept { return Own_; }
  /// \returns requests of others for each slot, as last reported.
  double othersPerSlot() const noexcept { return Others_ / Slots_; }

private:
  std::uint32_t Own_ = 0;
  double Others_ = 0;
  double Slots_ = 1;
  base::TimePoint Reported_;
};

} // namespace lychee::dispatch

#endif
