#ifndef LYCHEE_ADMISSION_QUEUEDREQUEST_H
#define LYCHEE_ADMISSION_QUEUEDREQUEST_H

#include "base/Time.h"

#include <cstdint>

namespace lychee::admission {

/// The number of a customer in a queue. \see FairQueue::registerCustomer
using CustomerIndex = std::uint32_t;

/// A request that waits for a free slot.
struct QueuedRequest {
  /// Identifies the request to its owner.
  std::uint64_t Ticket_ = 0;
  CustomerIndex Customer_ = 0;
  /// Hash of caller and key: identifies the caller within the customer.
  std::uint64_t Caller_ = 0;
  base::TimePoint Arrived_;
  base::TimePoint Deadline_;
  /// Expected slot time.
  base::Duration Work_{};
};

/// Position of a queued request, for removing it early.
struct QueuePosition {
  std::uint32_t Index_ = UINT32_MAX;
  std::uint32_t Generation_ = 0;
};

} // namespace lychee::admission

#endif
