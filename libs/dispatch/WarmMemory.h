#ifndef LYCHEE_DISPATCH_WARMMEMORY_H
#define LYCHEE_DISPATCH_WARMMEMORY_H

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace lychee::dispatch {

/// Which objects a target handled lately for this host.
///
/// Load pattern: the first target of an object is full for a moment. Its second
/// is as good only where it has handled the object before; else the request
/// takes three times as long there, and pushes another object out. Other hosts
/// warm targets, too, so what is not remembered may still be warm.
class WarmMemory {
public:
  /// Objects remembered; the longest unused goes. Targets keep some tens.
  static constexpr std::size_t Most = 32;
  /// A target that handled the object longer ago has most likely let it go.
  static constexpr base::Duration KeptFor = std::chrono::seconds(15);

  void handled(std::uint64_t Object, base::TimePoint Now);
  bool isWarm(std::uint64_t Object, base::TimePoint Now) const noexcept;

private:
  struct Entry {
    std::uint64_t Object_ = 0;
    base::TimePoint At_;
  };

  std::vector<Entry> Entries_;
};

} // namespace lychee::dispatch

#endif
