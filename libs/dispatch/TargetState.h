#ifndef LYCHEE_DISPATCH_TARGETSTATE_H
#define LYCHEE_DISPATCH_TARGETSTATE_H

#include "dispatch/ColdTargetRateLimiter.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/TargetHealth.h"
#include "dispatch/WarmMemory.h"
#include "live/TargetRecord.h"

namespace lychee::dispatch {

/// All that is known of one target: what it registered, and what this host saw.
struct TargetState {
  live::TargetRecord Record_;
  base::RegionId Region_;
  std::uint64_t Hash_ = 0;
  base::TimePoint ColdUntil_;
  /// Its zone is to be kept clear.
  bool Evacuated_ = false;
  /// Another target answered at its address; holds until it registers anew.
  bool AddressTaken_ = false;
  LoadEstimate Load_;
  TargetHealth Trust_;
  ColdTargetRateLimiter Cold_;
  WarmMemory Warm_;
  /// Its time for a request, as a multiple of what is usual for the request's
  /// rule.
  double Slowness_ = 1;
};

} // namespace lychee::dispatch

#endif
