#ifndef LYCHEE_LIVE_OBJECTUPDATE_H
#define LYCHEE_LIVE_OBJECTUPDATE_H

#include "live/ObjectSource.h"

#include <optional>
#include <vector>

namespace lychee::live {

/// Update on one kind of object from another host: the changes after a revision
/// that this host named, and the age of that state.
struct ObjectUpdate {
  std::string Kind_;
  ObjectBatch Changes_;
  /// Revision of the last change that the other host received. If that change
  /// is neither in Changes_ nor known here, a store that stopped delivering
  /// changes has withheld it.
  StoreRevision NewestRevision_;
  /// The other host no longer has the changes, or omits them because they are
  /// large: they must be fetched from the store.
  bool MustRelist_ = false;
  /// Age of the state when the update was sent; nothing if unknown.
  std::optional<base::Duration> Age_;
};

} // namespace lychee::live

#endif
