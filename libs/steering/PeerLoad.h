#ifndef LYCHEE_STEERING_PEERLOAD_H
#define LYCHEE_STEERING_PEERLOAD_H

#include "base/Id.h"

#include <cstdint>

namespace lychee::steering {

/// How many requests one host has in flight at one target: what hosts tell
/// each other, as a target's few slots are shared by all of them.
struct PeerLoad {
  base::ServiceId Service_;
  base::TargetId Target_;
  std::uint32_t InFlight_ = 0;

  bool operator==(const PeerLoad &) const = default;
};

} // namespace lychee::steering

#endif
