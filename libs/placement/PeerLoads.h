#ifndef LYCHEE_PLACEMENT_PEERLOADS_H
#define LYCHEE_PLACEMENT_PEERLOADS_H

#include "base/Id.h"
#include "base/Time.h"
#include "placement/HomeSlots.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace lychee::placement {

/// Index of a target in its pool.
using TargetIndex = std::uint32_t;

/// Number of requests that one host has in flight at one target.
struct InFlight {
  TargetIndex Target_ = 0;
  std::uint32_t Count_ = 0;
};

/// The requests that the other hosts report to have in flight at a pool's
/// targets.
///
/// A peer without a report for ReportTimeout is counted as silent. The pool
/// assumes that a silent peer carries the mean load of the reporting hosts,
/// because it still sends unless it is dead, and dead hosts are removed by
/// membership. Not thread-safe: part of its TargetPool.
class PeerLoads {
public:
  /// Twenty load updates, which hosts send every 50 ms: that many are not lost
  /// by chance.
  static constexpr base::Duration ReportTimeout = std::chrono::seconds(1);

  /// Sets the peers. Reports of hosts that are no longer peers are dropped.
  void setPeers(std::span<const base::HostId> Peers);

  /// Replaces a peer's counts; targets without an entry count as zero. A report
  /// from a host that is not a peer is ignored.
  void update(const base::HostId &Peer, std::span<const InFlight> Counts,
              base::TimePoint Now);

  /// Drops reports that are older than ReportTimeout.
  void tick(base::TimePoint Now);

  /// \returns the requests in flight at \p Target, summed over the reporting
  /// peers.
  std::uint32_t inFlightAt(TargetIndex Target) const noexcept {
    return Target < Sums_.size() ? Sums_[Target] : 0;
  }

  std::uint32_t total() const noexcept { return Total_; }
  std::uint32_t reportingPeers() const noexcept { return ReportingPeers_; }
  std::uint32_t silentPeers() const noexcept {
    return static_cast<std::uint32_t>(Reports_.size()) - ReportingPeers_;
  }

  /// \returns the mean age of the counted reports; the maximum duration where
  /// there is none.
  base::Duration meanAge(base::TimePoint Now) const noexcept;

  /// Adds each peer with a weight: its smoothed number of requests in flight,
  /// relative to \p Mean requests in flight per host.
  void addWeights(double Mean, std::vector<HostWeight> &Weights) const;

  /// \returns the smoothed number of requests in flight, summed over the peers.
  double smoothedTotal() const noexcept;

  /// \returns the exponentially weighted moving average after \p Average, given
  /// the sample \p Count and the \p Time since the previous sample.
  static double smoothed(double Average, double Count,
                         base::Duration Time) noexcept;

private:
  struct PeerReport {
    double Smoothed_ = 0;
    base::TimePoint ReceivedAt_;
    bool IsCounted_ = false;
    std::vector<InFlight> Counts_;
  };

  static std::chrono::microseconds
  toMicroseconds(base::TimePoint Time) noexcept {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        Time.time_since_epoch());
  }

  void subtract(PeerReport &Report) noexcept;

  std::map<base::HostId, PeerReport> Reports_;
  std::vector<std::uint32_t> Sums_;
  std::uint32_t Total_ = 0;
  std::uint32_t ReportingPeers_ = 0;
  /// Sum of the receive times of the counted reports, for their mean age. In
  /// microseconds, because the sum in nanoseconds would overflow with a long
  /// uptime and many hosts.
  std::chrono::microseconds ReceivedAtSum_{};
};

} // namespace lychee::placement

#endif
