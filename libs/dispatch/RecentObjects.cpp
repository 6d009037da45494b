#include "dispatch/RecentObjects.h"

#include <algorithm>

namespace lychee::dispatch {

void RecentObjects::record(std::uint64_t Object, base::TimePoint Now) {
  const auto Found = std::find_if(
      Entries_.begin(), Entries_.end(),
      [Object](const Entry &Recent) { return Recent.Object_ == Object; });
  if (Found != Entries_.end()) {
    Found->LastUsed_ = Now;
    return;
  }
  if (Entries_.size() < MaxObjects) {
    Entries_.push_back({Object, Now});
    return;
  }
  *std::min_element(Entries_.begin(), Entries_.end(),
                    [](const Entry &Left, const Entry &Right) {
                      return Left.LastUsed_ < Right.LastUsed_;
                    }) = {Object, Now};
}

bool RecentObjects::contains(std::uint64_t Object,
                             base::TimePoint Now) const noexcept {
  return std::any_of(Entries_.begin(), Entries_.end(),
                     [Object, Now](const Entry &Recent) {
                       return Recent.Object_ == Object &&
                              Now - Recent.LastUsed_ < RetentionTime;
                     });
}

} // namespace lychee::dispatch
