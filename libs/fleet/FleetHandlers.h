#ifndef LYCHEE_FLEET_FLEETHANDLERS_H
#define LYCHEE_FLEET_FLEETHANDLERS_H

#include "fleet/FleetState.h"
#include "fleet/SettingsPropagator.h"
#include "fleet/rpc/RpcDispatcher.h"

#include <functional>
#include <string>

namespace lychee::fleet {

/// Binds the RPC methods that a host offers to its peers: heartbeats, pledges,
/// leaving, freshness views, hints, and the settings root and chunks. Handlers
/// block on nothing but the state's lock. \see FleetNode
class FleetHandlers {
public:
  FleetHandlers() = delete;

  /// \param State, Propagator  must outlive all calls of the dispatcher.
  /// \param FetchRecord  sends a heartbeat to the peer at IP:PORT, which has a
  /// newer record of this host's zone; the answer carries that record.
  static void bind(RpcDispatcher &To, FleetState &State,
                   SettingsPropagator &Propagator,
                   const std::function<void(const std::string &)> &FetchRecord);
};

} // namespace lychee::fleet

#endif
