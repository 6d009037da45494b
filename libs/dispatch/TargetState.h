#ifndef LYCHEE_DISPATCH_TARGETSTATE_H
#define LYCHEE_DISPATCH_TARGETSTATE_H

#include "dispatch/ColdTargetRateLimiter.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/RecentObjects.h"
#include "dispatch/TargetHealth.h"
#include "dispatch/TargetSpeed.h"
#include "dispatch/TargetStatements.h"
#include "live/TargetRecord.h"

#include <memory>

namespace lychee::dispatch {

/// State of one target: its registration, and what this host observed.
struct TargetState {
  live::TargetRecord Record_;
  base::RegionId Region_;
  std::uint64_t Hash_ = 0;
  base::TimePoint ColdUntil_;
  /// Its availability zone is evacuated.
  bool Evacuated_ = false;
  /// Another target answered at its address; holds until it registers anew.
  bool AddressReused_ = false;
  LoadEstimate Load_;
  TargetHealth Health_;
  ColdTargetRateLimiter ColdLimiter_;
  /// Identifies the target and its start between hosts.
  std::uint64_t StartKey_ = 0;
  /// Null: it has stated nothing. Shared with the table that keeps it while the
  /// target has no entry. \see StatementTable
  std::shared_ptr<TargetStatements> Stated_;
  RecentObjects RecentObjects_;
  /// Its response time, as a multiple of what is usual for the request's rule;
  /// without the effect of the speed that it states.
  double Slowness_ = 1;
  TargetSpeed Speed_;

  bool isLeaving() const noexcept {
    return Record_.Leaving_ || (Stated_ && Stated_->isLeaving());
  }
  bool isResting(base::TimePoint Now) const noexcept {
    return Stated_ && Stated_->isResting(Now);
  }
  bool statesRate() const noexcept {
    return Stated_ && Stated_->rate().perSecond();
  }
};

} // namespace lychee::dispatch

#endif
