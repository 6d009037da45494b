#ifndef LYCHEE_SHIFTING_COLDCACHECOST_H
#define LYCHEE_SHIFTING_COLDCACHECOST_H

#include "base/Time.h"

namespace lychee::shifting {

/// The factor by which a moved request costs its receiving region more than a
/// request of the region's own callers, because moved callers find cold caches.
///
/// Load pattern: a step that fits the receiver's headroom at the usual cost
/// takes twice the slots at first. Without this factor each step of a large
/// move overloads the receiver until its caches are warm. A high factor makes
/// steps smaller and charges more headroom; it falls as measured.
///
/// Without measurements the factor is DefaultFactor. Without recent
/// measurements it returns there, because a cache drops the data of callers
/// that no longer come.
///
/// Not thread-safe: part of its owner.
class ColdCacheCost {
public:
  /// Conservative default: a cache miss costs the fetch in addition to the
  /// request itself.
  static constexpr double DefaultFactor = 2;
  /// Upper bound of a measured factor; larger values come from slowness of
  /// other causes.
  static constexpr double MaxFactor = 8;
  /// Time after which a cache has lost half of what it held.
  static constexpr base::Duration HalfLife = std::chrono::minutes(10);

  /// Records that a request of the receiver's own callers took \p Latency.
  void recordOwn(base::Duration Latency) noexcept;

  /// Records that a moved caller's request took \p Latency.
  void recordMoved(base::Duration Latency, base::TimePoint Now) noexcept;

  double factor(base::TimePoint Now) const noexcept;

private:
  base::Duration Own_{};
  base::Duration Moved_{};
  base::TimePoint LastMoved_;
};

} // namespace lychee::shifting

#endif
