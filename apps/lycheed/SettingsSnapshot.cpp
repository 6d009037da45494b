#include "lycheed/SettingsSnapshot.h"

#include <algorithm>
#include <utility>

namespace lychee::daemon {

SettingsSnapshot::SettingsSnapshot(
    std::shared_ptr<const settings::Intent> Intent, const base::RegionId &Home,
    const SettingsSnapshot *Before)
    : Intent_(std::move(Intent)), Keys_(*Intent_),
      Clients_(Intent_->ClientBlocks_,
               Before == nullptr ? settings::ClientTable() : Before->Clients_),
      HomePreference_(byDelayFrom(Home)) {
  for (const base::SiteId &Site : Intent_->SiteOrder_)
    SitePreference_.push_back(Intent_->Sites_.at(Site).Regions_);
  for (const auto &[Id, Service] : Intent_->Services_) {
    for (const std::string &Name : Service.HostNames_)
      ByHost_.emplace(Name, &Service);
    if (!Service.PathPrefix_.empty())
      ByPath_.emplace_back(Service.PathPrefix_, &Service);
  }
  std::sort(ByPath_.begin(), ByPath_.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first.size() > Right.first.size();
            });
}

std::vector<base::RegionId>
SettingsSnapshot::byDelayFrom(const base::RegionId &Home) const {
  const auto DelayTo = [&](const base::RegionId &Region) {
    if (Region == Home)
      return base::Duration(-1);
    for (const settings::Link &Link : Intent_->Links_)
      if ((Link.Left_ == Home && Link.Right_ == Region) ||
          (Link.Right_ == Home && Link.Left_ == Region))
        return Link.OneWayDelay_;
    return base::Duration::max();
  };
  std::vector<base::RegionId> Regions;
  for (const auto &[Id, Region] : Intent_->Regions_)
    Regions.push_back(Id);
  std::stable_sort(Regions.begin(), Regions.end(),
                   [&](const auto &Left, const auto &Right) {
                     return DelayTo(Left) < DelayTo(Right);
                   });
  return Regions;
}

const settings::Service *
SettingsSnapshot::findService(std::string_view Name, std::string_view Host,
                              std::string_view Path) const {
  if (!Name.empty()) {
    const auto Found = Intent_->Services_.find(base::ServiceId(Name));
    return Found == Intent_->Services_.end() ? nullptr : &Found->second;
  }
  const auto Found = ByHost_.find(Host);
  if (Found != ByHost_.end())
    return Found->second;
  for (const auto &[Prefix, Service] : ByPath_)
    if (Path.starts_with(Prefix))
      return Service;
  return nullptr;
}

const std::vector<base::RegionId> &
SettingsSnapshot::preference(std::uint32_t Address) const {
  const auto Site = Clients_.find(Address);
  return Site ? SitePreference_[*Site] : HomePreference_;
}

} // namespace lychee::daemon
