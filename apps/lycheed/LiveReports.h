#ifndef LYCHEE_APPS_LYCHEED_LIVEREPORTS_H
#define LYCHEE_APPS_LYCHEED_LIVEREPORTS_H

#include "dispatch/DispatchSteering.h"
#include "lycheed/LiveEntry.h"
#include "members/DemandDeltaEncoder.h"
#include "members/Heartbeat.h"
#include "members/RegionExchange.h"
#include "relaying/RelayRole.h"

#include <string>
#include <vector>

namespace lychee::daemon {

/// What this host tells other hosts of itself: its state, what its callers ask
/// for, and which requests it saw crash targets. Of the control loop's thread.
/// \see members::HeartbeatExchange, members::RegionExchange
class LiveReports {
public:
  /// All outlive this.
  struct Parts {
    const LiveEntry &Entry_;
    const live::ActiveIntent &Intents_;
    const members::HostTable &Hosts_;
    const relaying::RelayRole &Role_;
    dispatch::DispatchSteering &Steering_;
  };

  explicit LiveReports(const Parts &Others) : Others_(Others) {}

  /// \param Whole  tells all demands, else those that changed.
  /// \param WithCard  tells who and where the host is, and whom it hears.
  members::Heartbeat heartbeat(bool Whole, bool WithCard, base::TimePoint Now);

  /// What a host is answered that has just started.
  members::Heartbeat answer(base::TimePoint Now) const;

  /// This host's part of what its region tells others.
  members::LocalHostSummary summary(base::TimePoint Now) const;

private:
  /// Everything but demands and hosts.
  members::Heartbeat ownState(base::TimePoint Now) const;
  std::vector<std::string> hostsHeard(base::TimePoint Now) const;

  const Parts Others_;
  members::DemandDeltaEncoder Demands_;
};

} // namespace lychee::daemon

#endif
