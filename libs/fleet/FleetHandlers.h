#ifndef LYCHEE_FLEET_FLEETHANDLERS_H
#define LYCHEE_FLEET_FLEETHANDLERS_H

#include "fleet/FleetState.h"
#include "fleet/SettingsSpread.h"
#include "fleet/rpc/RpcDispatcher.h"

#include <functional>
#include <string>

namespace lychee::fleet {

/// Answers what peers ask of a host: heartbeats, pledges, goodbyes, views of
/// freshness, hints, and the settings' root and chunks. No handler waits for
/// anything but the state's lock. \see FleetNode
class FleetHandlers {
public:
  FleetHandlers() = delete;

  /// \param State, Spread  outlive the dispatcher's calls.
  /// \param BeatSoon  sends a heartbeat to the peer at IP:PORT, which has a
  /// newer record of this host's zone, and comes back with it.
  static void bind(RpcDispatcher &To, FleetState &State, SettingsSpread &Spread,
                   const std::function<void(const std::string &)> &BeatSoon);
};

} // namespace lychee::fleet

#endif
