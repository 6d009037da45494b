#ifndef LYCHEE_DISPATCH_SHAREDRATEOWNERS_H
#define LYCHEE_DISPATCH_SHAREDRATEOWNERS_H

#include "dispatch/FleetDemand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lychee::dispatch {

/// The host that may use a rate which applies to all hosts together.
struct RateOwner {
  enum class Kind {
    /// No host may use it now.
    None,
    /// This host.
    Self,
    /// The host at Address_.
    Other,
  };

  Kind Kind_ = Kind::None;
  std::string Address_;
};

/// Elects, for each target whose rate is shared, the host that owns that rate:
/// by rendezvous hashing among the hosts that are alive, serve and reach
/// targets, which needs no communication.
///
/// Failure: a host counts itself as elected because it does not know the others
/// yet, or no longer hears them. Symptom: after a rolling restart each host
/// sent a target its full rate, until it heard the others. So a host gives way
/// to another one at once, and takes over only after TakeoverDelay, in which
/// all others have heard of it; a host that is cut off takes over nothing.
/// \see StatedRateLimiter, ColdTargetRateLimiter
class SharedRateOwners {
public:
  /// Time for which a host serves before it owns a rate: two heartbeats reach
  /// the hosts of its region within it, and an update those of other regions.
  static constexpr base::Duration TakeoverDelay = std::chrono::seconds(2);
  /// Without an update for this long the host was paused, and others may have
  /// taken over: they count it as dead 2 s after its last heartbeat, which may
  /// be 500 ms older than its last update.
  static constexpr base::Duration MaxUpdateAge =
      std::chrono::milliseconds(1500);

  /// Sets the hosts. To be called every 250 ms.
  void update(const FleetDemand &Fleet, base::TimePoint Now);

  /// \param Region  hosts of this region go first; empty: all are alike.
  RateOwner ownerOf(std::uint64_t Target, const base::RegionId &Region,
                    base::TimePoint Now) const;

private:
  struct Candidate {
    base::HostId Host_;
    base::RegionId Region_;
    /// Empty: this host.
    std::string Address_;
  };

  bool maySelfOwn(base::TimePoint Now) const noexcept;

  std::vector<Candidate> Candidates_;
  bool IsServing_ = false;
  base::TimePoint ServingSince_;
  base::TimePoint UpdatedAt_;
};

} // namespace lychee::dispatch

#endif
