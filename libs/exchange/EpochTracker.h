#ifndef LYCHEE_EXCHANGE_EPOCHTRACKER_H
#define LYCHEE_EXCHANGE_EPOCHTRACKER_H

#include "budget/EpochSettlement.h"

#include <mutex>
#include <span>
#include <vector>

namespace lychee::exchange {

/// Follows the fleet's membership epochs at one host and tells when the newest
/// has settled. A host that the directory no longer names has no lease: its
/// record was written without it only after the lease had run out
/// (\see fleet::ZoneRecordPlanner), so it is not waited for.
///
/// A host that has just started knows no older epoch, but its peers may still
/// hold shares of one; it waits for each of them to say that it has entered.
/// Thread-safe, no I/O. \see budget::EpochSettlement
class EpochTracker {
public:
  EpochTracker() = default;
  EpochTracker(const EpochTracker &) = delete;
  EpochTracker &operator=(const EpochTracker &) = delete;

  /// The directory names \p Members in \p Epoch.
  /// \returns true where the epoch is newer than all before.
  bool enter(std::uint64_t Epoch, std::span<const base::HostId> Members);

  /// \p Host stands in \p Epoch, or in a newer one, with all that it uses.
  void entered(const base::HostId &Host, std::uint64_t Epoch);

  std::uint64_t epoch() const;
  bool settled() const;
  /// \returns the hosts waited for, for logs.
  std::vector<base::HostId> waitedFor() const;

private:
  mutable std::mutex Lock_;
  budget::EpochSettlement Settlement_;
  std::vector<base::HostId> Members_;
};

} // namespace lychee::exchange

#endif
