#include "lycheed/LiveReports.h"

namespace lychee::daemon {

members::Heartbeat LiveReports::ownState(base::TimePoint Now) const {
  members::Heartbeat Said;
  const members::LocalHostState Own = Others_.Entry_.ownState(Now);
  Said.Ready_ = Own.Ready_;
  Said.Leaving_ = Own.Leaving_;
  Said.TargetsUnreached_ = Own.TargetsUnreached_;
  Said.StoreTrouble_ = Others_.Role_.isInTrouble(Now);
  Said.VersionAhead_ = Others_.Intents_.versionAheadOfStore(Now);
  Said.Loads_ = Others_.Steering_.serviceDemands(Now);
  Said.Pressures_ = Others_.Steering_.servicePressures(Now);
  Said.Evidence_ = Others_.Steering_.crashEvidence(Now);
  Said.TargetRates_ = Others_.Steering_.announcedRates(Now);
  Said.TargetLeavings_ = Others_.Steering_.announcedLeavings(Now);
  return Said;
}

std::vector<std::string> LiveReports::hostsHeard(base::TimePoint Now) const {
  const base::RegionId &Region = Others_.Hosts_.self().Region_;
  std::vector<std::string> Addresses;
  for (const members::HostView &Each : Others_.Hosts_.others(Now))
    if (Each.Alive_ && Each.Descriptor_.Region_ == Region)
      Addresses.push_back(Each.Descriptor_.Address_);
  return Addresses;
}

members::Heartbeat LiveReports::heartbeat(bool Whole, bool WithCard,
                                          base::TimePoint Now) {
  members::Heartbeat Said = ownState(Now);
  members::DemandUpdate Told =
      Demands_.encode(Others_.Steering_.customerDemands(Now), Whole);
  Said.IsFull_ = Told.IsFull_;
  Said.Demands_ = std::move(Told.Demands_);
  if (WithCard)
    Said.LivePeers_ = hostsHeard(Now);
  return Said;
}

members::Heartbeat LiveReports::answer(base::TimePoint Now) const {
  members::Heartbeat Said = ownState(Now);
  Said.IsFull_ = true;
  Said.Demands_ = Others_.Steering_.customerDemands(Now);
  Said.Times_ = Others_.Steering_.executionTimes();
  Said.LivePeers_ = hostsHeard(Now);
  return Said;
}

members::LocalHostSummary LiveReports::summary(base::TimePoint Now) const {
  const members::LocalHostState Own = Others_.Entry_.ownState(Now);
  return {Own.Ready_,
          Own.Leaving_,
          Others_.Steering_.customerDemands(Now),
          Others_.Steering_.serviceDemands(Now),
          Others_.Steering_.crashEvidence(Now),
          Others_.Steering_.relayedRates(Now),
          Others_.Steering_.relayedLeavings(Now),
          Own.TargetsUnreached_};
}

} // namespace lychee::daemon
