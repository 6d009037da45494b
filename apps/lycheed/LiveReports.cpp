#include "lycheed/LiveReports.h"

namespace lychee::daemon {

members::Heartbeat LiveReports::ownState(base::TimePoint Now) const {
  members::Heartbeat Said;
  const members::OwnState Own = Others_.Entry_.ownState(Now);
  Said.Ready_ = Own.Ready_;
  Said.Leaving_ = Own.Leaving_;
  Said.StoreTrouble_ = Others_.Role_.isInTrouble(Now);
  Said.Loads_ = Others_.Steering_.loads(Now);
  Said.Evidence_ = Others_.Steering_.evidence(Now);
  return Said;
}

std::vector<std::string> LiveReports::hostsHeard(base::TimePoint Now) const {
  const base::RegionId &Region = Others_.Hosts_.self().Region_;
  std::vector<std::string> Addresses;
  for (const members::HostView &Each : Others_.Hosts_.others(Now))
    if (Each.Alive_ && Each.Card_.Region_ == Region)
      Addresses.push_back(Each.Card_.Address_);
  return Addresses;
}

members::Heartbeat LiveReports::heartbeat(bool Whole, bool WithCard,
                                          base::TimePoint Now) {
  members::Heartbeat Said = ownState(Now);
  members::ToldDemands Told =
      Demands_.tell(Others_.Steering_.demands(Now), Whole);
  Said.IsWhole_ = Told.IsWhole_;
  Said.Demands_ = std::move(Told.Demands_);
  if (WithCard)
    Said.Hears_ = hostsHeard(Now);
  return Said;
}

members::Heartbeat LiveReports::answer(base::TimePoint Now) const {
  members::Heartbeat Said = ownState(Now);
  Said.IsWhole_ = true;
  Said.Demands_ = Others_.Steering_.demands(Now);
  Said.Times_ = Others_.Steering_.workTimes();
  Said.Hears_ = hostsHeard(Now);
  return Said;
}

members::OwnSummary LiveReports::summary(base::TimePoint Now) const {
  const members::OwnState Own = Others_.Entry_.ownState(Now);
  return {Own.Ready_, Own.Leaving_, Others_.Steering_.demands(Now),
          Others_.Steering_.loads(Now), Others_.Steering_.evidence(Now)};
}

} // namespace lychee::daemon
