#ifndef LYCHEE_DISPATCH_ANNOUNCEMENT_H
#define LYCHEE_DISPATCH_ANNOUNCEMENT_H

#include "base/Time.h"

namespace lychee::dispatch {

/// Until when this host announces what a target stated: to the hosts of its
/// region, and, where it represents the region, to other regions.
/// \see StatedRateLimiter, TargetStatements
class Announcement {
public:
  /// A change is announced for this long: in three heartbeats or region
  /// updates.
  static constexpr base::Duration Period = std::chrono::milliseconds(1600);

  /// This host heard it from the target itself.
  void begin(base::TimePoint Now) noexcept {
    AnnouncedUntil_ = Now + Period;
    RelayedUntil_ = Now + Period;
  }
  /// Another host of the region announced it: other regions are to be told.
  void relay(base::TimePoint Now) noexcept { RelayedUntil_ = Now + Period; }

  /// \returns whether to announce it to the hosts of the region now.
  bool isAnnounced(base::TimePoint Now) const noexcept {
    return Now < AnnouncedUntil_;
  }
  /// \returns whether a representative tells other regions of it now.
  bool isRelayed(base::TimePoint Now) const noexcept {
    return Now < RelayedUntil_;
  }

private:
  base::TimePoint AnnouncedUntil_;
  base::TimePoint RelayedUntil_;
};

} // namespace lychee::dispatch

#endif
