#ifndef LYCHEE_LIVE_STOREREVISION_H
#define LYCHEE_LIVE_STOREREVISION_H

#include "base/Time.h"

#include <compare>
#include <cstdint>

namespace lychee::live {

/// Position in the store's history of changes.
///
/// Failure: the store comes back from an older copy of itself and gives its
/// revision numbers out again. Compared by number alone, new changes would
/// count as known. The store's era rises each time, so a revision is compared
/// by its era first.
struct StoreRevision {
  /// \param Era 0: the store does not state its era.
  constexpr StoreRevision(std::uint64_t Number = 0,
                          std::uint64_t Era = 0) noexcept
      : Era_(Era), Number_(Number) {}

  std::uint64_t Era_;
  std::uint64_t Number_;

  auto operator<=>(const StoreRevision &) const = default;
};

/// Operators and targets write again within this time what a store lacks that
/// came back from an older copy.
inline constexpr base::Duration RewriteTime = std::chrono::seconds(2);

/// Time until a change is known on every host: a pause of half a second between
/// two watches, and a poll of a host that reads the store.
inline constexpr base::Duration RewriteLearningTime =
    std::chrono::milliseconds(900);

} // namespace lychee::live

#endif
