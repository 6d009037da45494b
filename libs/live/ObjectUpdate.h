#ifndef LYCHEE_LIVE_OBJECTUPDATE_H
#define LYCHEE_LIVE_OBJECTUPDATE_H

#include "live/ObjectSource.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lychee::live {

/// What another host tells of one kind of object: what changed after a
/// revision that this host named, and for when that is the newest.
struct ObjectUpdate {
  std::string Kind_;
  ObjectBatch Changes_;
  /// The last change that the other host heard of. One that is not among
  /// Changes_ and not known here was kept back by a store that went deaf.
  std::uint64_t Newest_ = 0;
  /// The other host no longer knows what changed since then, or leaves it out
  /// since it is large: the store must be asked.
  bool MustList_ = false;
  /// How long before it was told this was the newest; nothing where unknown.
  std::optional<base::Duration> Age_;
};

} // namespace lychee::live

#endif
