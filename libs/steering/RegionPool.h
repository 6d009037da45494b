#ifndef LYCHEE_STEERING_REGIONPOOL_H
#define LYCHEE_STEERING_REGIONPOOL_H

#include "admission/AdmissionControl.h"
#include "placement/TargetPool.h"
#include "retrying/RetryBudget.h"
#include "settings/Intent.h"
#include "steering/PeerLoad.h"

#include <unordered_map>

namespace lychee::steering {

/// One service in one region, as one host sees it: the targets there, and the
/// line of requests that wait for them. A line for each region, since a slot
/// that becomes free helps only those who wait for that region.
///
/// Not thread-safe: guarded by the lock of its ServiceSteering.
class RegionPool {
public:
  RegionPool(const base::RegionId &Region, const base::HostId &Self,
             const admission::AdmissionControl::Limits &Limits);
  RegionPool(const RegionPool &) = delete;
  RegionPool &operator=(const RegionPool &) = delete;

  /// \param Targets  those of the service that stand in this region.
  void applyIntent(const settings::Intent &Intent,
                   std::span<const settings::Target> Targets,
                   base::TimePoint Now);

  const base::RegionId &region() const noexcept { return Region_; }
  placement::TargetPool &targets() noexcept { return Targets_; }
  const placement::TargetPool &targets() const noexcept { return Targets_; }
  admission::AdmissionControl &line() noexcept { return Line_; }

  /// \returns the number of a customer in the line; one that the intent does
  /// not name has none.
  std::optional<admission::CustomerIndex>
  customer(const base::CustomerId &Customer) const;

  const std::string &address(placement::TargetIndex Target) const {
    return Addresses_.at(Targets_.nameOf(Target));
  }

  /// \returns the budget of second sends to a target.
  retrying::RetryBudget &retries(placement::TargetIndex Target) {
    return Retries_[Target];
  }

private:
  const base::RegionId Region_;
  placement::TargetPool Targets_;
  admission::AdmissionControl Line_;
  std::unordered_map<base::CustomerId, admission::CustomerIndex> Customers_;
  std::unordered_map<base::TargetId, std::string> Addresses_;
  std::unordered_map<placement::TargetIndex, retrying::RetryBudget> Retries_;
};

} // namespace lychee::steering

#endif
