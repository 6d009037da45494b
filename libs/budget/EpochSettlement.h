#ifndef LYCHEE_BUDGET_EPOCHSETTLEMENT_H
#define LYCHEE_BUDGET_EPOCHSETTLEMENT_H

#include "base/Id.h"

#include <cstdint>
#include <set>
#include <span>

namespace lychee::budget {

/// Tells when a membership epoch has settled: when every host that may still
/// use parts by an older epoch has entered the new one, or has no lease any
/// more. Until then each host keeps to the lesser of its old and new share, so
/// a re-division can only lose parts for a while.
///
/// An epoch that follows before this one settled inherits its open holders: a
/// host that missed both may still use the oldest share.
/// Not thread-safe. \see EpochShare
class EpochSettlement {
public:
  EpochSettlement() = default;

  /// Begins \p Epoch. Older or equal epochs change nothing.
  /// \param Members  the hosts of the new epoch.
  void begin(std::uint64_t Epoch, std::span<const base::HostId> Members);

  /// \p Host has entered \p Epoch and uses nothing older.
  void acknowledge(const base::HostId &Host, std::uint64_t Epoch);

  /// \p Host's lease has run out by the longest clock drift and pause bound,
  /// or the host is known to be gone.
  void recordLeaseEnd(const base::HostId &Host);

  std::uint64_t epoch() const noexcept { return Epoch_; }
  bool settled() const noexcept { return Epoch_ != 0 && Open_.empty(); }

  /// \returns the hosts still waited for, for status and logs.
  const std::set<base::HostId> &pendingHosts() const noexcept { return Open_; }

private:
  std::uint64_t Epoch_ = 0;
  std::set<base::HostId> Members_;
  std::set<base::HostId> Open_;
};

} // namespace lychee::budget

#endif
