#ifndef LYCHEE_BUDGET_EPOCHSETTLEMENT_H
#define LYCHEE_BUDGET_EPOCHSETTLEMENT_H

#include "base/Id.h"

#include <cstdint>
#include <set>
#include <span>

namespace lychee::budget {

/// Tracks when a membership epoch has settled: when every host that may still
/// use parts of an older epoch has entered the new one, or has no valid lease.
/// Until then each host uses at most the smaller of its old and its new share,
/// so that a new division leaves some parts unused for a while, but never
/// counts parts twice.
///
/// An epoch that begins before the previous one has settled inherits its
/// pending hosts: a host that missed both may still use the oldest share. Not
/// thread-safe. \see EpochShare
class EpochSettlement {
public:
  EpochSettlement() = default;

  /// Begins \p Epoch. Has no effect unless it is newer.
  /// \param Members  the hosts of the new epoch.
  void begin(std::uint64_t Epoch, std::span<const base::HostId> Members);

  /// \p Host has entered \p Epoch and uses no parts of older epochs.
  void acknowledge(const base::HostId &Host, std::uint64_t Epoch);

  /// \p Host's lease has expired, allowing for the maximum clock drift and
  /// pause, or the host is known to have stopped.
  void recordLeaseEnd(const base::HostId &Host);

  std::uint64_t epoch() const noexcept { return Epoch_; }
  bool settled() const noexcept { return Epoch_ != 0 && Open_.empty(); }

  /// \returns the hosts that have not yet entered, for status and logs.
  const std::set<base::HostId> &pendingHosts() const noexcept { return Open_; }

private:
  std::uint64_t Epoch_ = 0;
  std::set<base::HostId> Members_;
  std::set<base::HostId> Open_;
};

} // namespace lychee::budget

#endif
