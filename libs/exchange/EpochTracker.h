#ifndef LYCHEE_EXCHANGE_EPOCHTRACKER_H
#define LYCHEE_EXCHANGE_EPOCHTRACKER_H

#include "budget/EpochSettlement.h"

#include <mutex>
#include <span>
#include <vector>

namespace lychee::exchange {

/// Tracks the fleet's membership epochs on one host and determines when the
/// newest one has settled. A host that the directory no longer lists has no
/// lease, since a record without it was written only after the lease had
/// expired (\see fleet::ZoneRecordPlanner); so it is not waited for.
///
/// A host that has just started knows no older epoch, but its peers may still
/// hold shares of one. It waits until each of them has entered the current
/// epoch. Thread-safe, no I/O. \see budget::EpochSettlement
class EpochTracker {
public:
  EpochTracker() = default;
  EpochTracker(const EpochTracker &) = delete;
  EpochTracker &operator=(const EpochTracker &) = delete;

  /// The directory lists \p Members in \p Epoch.
  /// \returns true if the epoch is newer than all before.
  bool enter(std::uint64_t Epoch, std::span<const base::HostId> Members);

  /// \p Host has entered \p Epoch with everything that it uses. Acknowledges
  /// the current epoch if \p Epoch is not older.
  void acknowledge(const base::HostId &Host, std::uint64_t Epoch);

  std::uint64_t epoch() const;
  bool settled() const;
  /// \returns the hosts that have not entered the current epoch yet, for logs.
  std::vector<base::HostId> pendingHosts() const;

private:
  mutable std::mutex Lock_;
  budget::EpochSettlement Settlement_;
  std::vector<base::HostId> Members_;
};

} // namespace lychee::exchange

#endif
