#ifndef LYCHEE_DISPATCH_FORWARDINGHOSTS_H
#define LYCHEE_DISPATCH_FORWARDINGHOSTS_H

#include "base/Random.h"
#include "dispatch/FleetDemand.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lychee::dispatch {

/// Chooses the host that a request is forwarded to, as its targets are not
/// reached from here.
///
/// Load pattern: half of the hosts are cut from the targets, and each forwards
/// all its callers' requests. If they all chose the nearest host that reaches
/// targets, it would get the load of several. So each takes a few hosts of its
/// own region by rendezvous hashing, which spreads them and bounds the
/// connections between hosts, and of these two at random, the one with fewer
/// requests from here. Other regions' hosts come after those of its own region.
/// \see TargetReach
class ForwardingHosts {
public:
  /// Hosts of each region that a host forwards to.
  static constexpr std::size_t MaxHostsPerRegion = 4;
  /// A host that could not be reached, or reaches no targets either, is left
  /// out for this long: by then heartbeats have told of it.
  static constexpr base::Duration FailurePause = std::chrono::seconds(1);

  /// Sets the hosts that are known. To be called every 250 ms.
  void update(const FleetDemand &Fleet, base::TimePoint Now);

  /// \param Homes  regions in which the request may be served; null: any.
  /// \param Tried  hosts that it was forwarded to before.
  /// \returns nothing where no host may take it.
  std::optional<members::HostDescriptor>
  choose(const std::vector<base::RegionId> *Homes,
         std::span<const base::HostId> Tried, base::Random &Random,
         base::TimePoint Now) const;

  /// \returns whether another host reaches targets.
  bool any() const noexcept { return !Hosts_.empty(); }

  void recordSend(const base::HostId &Host) { ++InFlight_[Host]; }
  void recordEnd(const base::HostId &Host);
  void recordFailure(const base::HostId &Host, base::TimePoint Now) {
    PausedUntil_[Host] = Now + FailurePause;
  }

private:
  bool isPaused(const base::HostId &Host, base::TimePoint Now) const;
  std::size_t inFlight(const base::HostId &Host) const;

  base::RegionId Region_;
  std::vector<members::HostDescriptor> Hosts_;
  std::map<base::HostId, std::size_t> InFlight_;
  std::map<base::HostId, base::TimePoint> PausedUntil_;
};

} // namespace lychee::dispatch

#endif
