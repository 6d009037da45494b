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

/// A target's place in its pool.
using TargetIndex = std::uint32_t;

/// How many requests one host has in flight at one target.
struct InFlight {
  TargetIndex Target_ = 0;
  std::uint32_t Count_ = 0;
};

/// What the other hosts said they have in flight at a pool's targets.
///
/// A host that has said nothing for Silence is no longer counted as heard; the
/// pool then takes it to do as this host does, because it still sends unless
/// it is dead, and membership tells that. Not thread-safe: part of its pool.
class PeerLoads {
public:
  /// Twenty of the hosts' rounds of 50 ms: that many are not lost by chance.
  static constexpr base::Duration Silence = std::chrono::seconds(1);

  /// Sets who counts; what others said is forgotten.
  void setPeers(std::span<const base::HostId> Peers);

  /// A host's counts, those it left out being zero. Ignored from a host that
  /// is not a peer.
  void heard(const base::HostId &Peer, std::span<const InFlight> Counts,
             base::TimePoint Now);

  /// Stops counting hosts that have gone silent.
  void tick(base::TimePoint Now);

  /// \returns the sum over the hosts heard.
  std::uint32_t at(TargetIndex Target) const noexcept {
    return Target < Sums_.size() ? Sums_[Target] : 0;
  }

  std::uint32_t total() const noexcept { return Total_; }
  std::uint32_t heardPeers() const noexcept { return Heard_; }
  std::uint32_t silentPeers() const noexcept {
    return static_cast<std::uint32_t>(Rows_.size()) - Heard_;
  }

  /// \returns the mean age of what was heard.
  base::Duration age(base::TimePoint Now) const noexcept;

  /// Adds each peer with the work it brings of late, relative to \p Mean
  /// requests in flight a host.
  void addWeights(double Mean, std::vector<HostWeight> &Weights) const;

  /// \returns the sum over the peers of the requests each has in flight of
  /// late.
  double smoothedTotal() const noexcept;

  /// \returns \p Old moved towards \p Count, as far as \p Time tells.
  static double smoothed(double Old, double Count,
                         base::Duration Time) noexcept;

private:
  struct Row {
    double Smoothed_ = 0;
    base::TimePoint At_;
    bool Heard_ = false;
    std::vector<InFlight> Counts_;
  };

  static std::chrono::microseconds sinceStart(base::TimePoint At) noexcept {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        At.time_since_epoch());
  }

  void withdraw(Row &Old) noexcept;

  std::map<base::HostId, Row> Rows_;
  std::vector<std::uint32_t> Sums_;
  std::uint32_t Total_ = 0;
  std::uint32_t Heard_ = 0;
  /// Sum of the times of what is counted, for its mean age; in microseconds,
  /// as nanoseconds of a long uptime and many hosts would overflow.
  std::chrono::microseconds Times_{};
};

} // namespace lychee::placement

#endif
