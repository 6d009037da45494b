#include "lycheed/LiveEntry.h"

namespace lychee::daemon {

bool LiveEntry::isReady() const { return Others_.KnowsAll_() && !Leaving_; }

members::LocalHostState LiveEntry::ownState(base::TimePoint Now) const {
  members::LocalHostState Own;
  const bool Trusted = Others_.Intents_.isTrusted(Now);
  Own.Ready_ = isReady() && Trusted;
  Own.Leaving_ = Leaving_;
  Own.CutOff_ = !Trusted && Others_.Hosts_.isCutOff(Now);
  Own.TargetsUnreached_ = !Others_.ReachesTargets_();
  return Own;
}

std::vector<base::RegionId>
LiveEntry::homesOf(const std::string &HostName) const {
  std::vector<base::RegionId> Homes;
  if (const auto Current = Others_.Intents_.current())
    for (const live::RouteRule &Rule : Current->Routes_)
      if (Rule.Host_ == HostName)
        Homes.insert(Homes.end(), Rule.Homes_.begin(), Rule.Homes_.end());
  return Homes;
}

std::vector<std::string> LiveEntry::resolve(members::EntryQuery Asked,
                                            base::TimePoint Now) const {
  Asked.Homes_ = homesOf(Asked.Name_);
  return members::chooseEntries(Asked, Others_.Hosts_.self(), ownState(Now),
                                Others_.Hosts_.others(Now));
}

std::optional<gateway::HostAnswer>
LiveEntry::lookUp(const base::ServiceId &Service,
                  std::uint32_t /*CallerAddress*/, base::TimePoint Now) {
  const auto Current = Others_.Intents_.current();
  if (!Current || !Current->Services_.contains(Service))
    return std::nullopt;
  gateway::HostAnswer Answer;
  Answer.TimeToLive_ = TimeToLive;
  Answer.SettingsVersion_ = Current->Version_;
  const members::HostDescriptor &Self = Others_.Hosts_.self();
  const members::LocalHostState Own = ownState(Now);
  // Callers take them in order, so those that would have to forward go last.
  std::vector<gateway::HostEntry> Forwarding;
  const auto Add = [&](const members::HostDescriptor &Host, bool Unreached) {
    (Unreached ? Forwarding : Answer.Hosts_)
        .push_back({Host.Host_, Host.Region_, Host.Zone_, Host.CallerAddress_});
  };
  if (Own.Ready_ && !Own.Leaving_)
    Add(Self, Own.TargetsUnreached_);
  for (const members::HostView &Each : Others_.Hosts_.others(Now))
    if (Each.Alive_ && Each.Ready_ && !Each.Leaving_)
      Add(Each.Descriptor_, Each.TargetsUnreached_);
  Answer.Hosts_.insert(Answer.Hosts_.end(), Forwarding.begin(),
                       Forwarding.end());
  return Answer;
}

void LiveEntry::announceLeaving(base::TimePoint /*Now*/) {
  Leaving_ = true;
  Others_.Leave_();
}

} // namespace lychee::daemon
