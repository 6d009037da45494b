#ifndef LYCHEE_ADMISSION_QUEUEDREQUEST_H
#define LYCHEE_ADMISSION_QUEUEDREQUEST_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::admission {

/// A customer as a queue numbers it. \see FairQueue::enrol
using CustomerIndex = std::uint32_t;

/// A request that waits for room.
struct QueuedRequest {
  /// Names the request to its owner.
  std::uint64_t Ticket_ = 0;
  CustomerIndex Customer_ = 0;
  /// Hash of caller and key: who within the customer asks.
  std::uint64_t Caller_ = 0;
  base::TimePoint Arrived_;
  base::TimePoint Deadline_;
  /// Slot time it is expected to take.
  base::Duration Work_{};
};

/// Where a waiting request stands, to give it up early.
struct QueuePosition {
  std::uint32_t Index_ = UINT32_MAX;
  std::uint32_t Generation_ = 0;
};

} // namespace lychee::admission

#endif
