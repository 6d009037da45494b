#include "dispatch/WarmMemory.h"

#include <algorithm>

namespace lychee::dispatch {

void WarmMemory::handled(std::uint64_t Object, base::TimePoint Now) {
  const auto Found = std::find_if(
      Entries_.begin(), Entries_.end(),
      [Object](const Entry &Each) { return Each.Object_ == Object; });
  if (Found != Entries_.end()) {
    Found->At_ = Now;
    return;
  }
  if (Entries_.size() < Most) {
    Entries_.push_back({Object, Now});
    return;
  }
  *std::min_element(Entries_.begin(), Entries_.end(),
                    [](const Entry &Left, const Entry &Right) {
                      return Left.At_ < Right.At_;
                    }) = {Object, Now};
}

bool WarmMemory::isWarm(std::uint64_t Object,
                        base::TimePoint Now) const noexcept {
  return std::any_of(
      Entries_.begin(), Entries_.end(), [Object, Now](const Entry &Each) {
        return Each.Object_ == Object && Now - Each.At_ < KeptFor;
      });
}

} // namespace lychee::dispatch
