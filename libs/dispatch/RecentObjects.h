#ifndef LYCHEE_DISPATCH_RECENTOBJECTS_H
#define LYCHEE_DISPATCH_RECENTOBJECTS_H

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace lychee::dispatch {

/// Objects that a target handled recently for this host.
///
/// Load pattern: the first target of an object is full for a moment. Its second
/// one is as good only where it has handled the object before; otherwise the
/// request takes three times as long there, and evicts another object. Other
/// hosts warm targets, too, so an object that is not recorded here may still be
/// warm.
class RecentObjects {
public:
  /// Objects kept; the least recently used is evicted. Targets keep some tens.
  static constexpr std::size_t MaxObjects = 32;
  /// A target that handled an object longer ago has most likely evicted it.
  static constexpr base::Duration RetentionTime = std::chrono::seconds(15);

  void record(std::uint64_t Object, base::TimePoint Now);
  bool contains(std::uint64_t Object, base::TimePoint Now) const noexcept;

private:
  struct Entry {
    std::uint64_t Object_ = 0;
    base::TimePoint LastUsed_;
  };

  std::vector<Entry> Entries_;
};

} // namespace lychee::dispatch

#endif
