#include "lycheed/FleetDirectory.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace lychee::daemon {

FleetDirectory::FleetDirectory(const SettingsHolder &Settings,
                               base::HostId Self, base::Duration TimeToLive,
                               std::function<void()> Leave)
    : Settings_(Settings), Self_(std::move(Self)), TimeToLive_(TimeToLive),
      Leave_(std::move(Leave)) {}

void FleetDirectory::setHosts(std::vector<gateway::HostEntry> Fresh) {
  auto Made = std::make_shared<const Hosts>(std::move(Fresh));
  const std::scoped_lock Guard(Lock_);
  Hosts_ = std::move(Made);
}

std::shared_ptr<const FleetDirectory::Hosts> FleetDirectory::hosts() const {
  const std::scoped_lock Guard(Lock_);
  return Hosts_;
}

std::optional<gateway::HostAnswer>
FleetDirectory::lookUp(const base::ServiceId &Service,
                       std::uint32_t CallerAddress, base::TimePoint /*Now*/) {
  const std::shared_ptr<const SettingsSnapshot> Settings = Settings_.current();
  if (!Settings || !Settings->intent()->Services_.contains(Service))
    return std::nullopt;
  const std::vector<base::RegionId> &Preference =
      Settings->preference(CallerAddress);
  struct Ranked {
    std::ptrdiff_t Region_;
    std::uint64_t Place_;
    const gateway::HostEntry *Host_;
  };
  const std::shared_ptr<const Hosts> Known = hosts();
  std::vector<Ranked> Order;
  Order.reserve(Known->size());
  for (const gateway::HostEntry &Each : *Known) {
    if (Settings->intent()->LeavingHosts_.contains(Each.Host_))
      continue;
    if (Leaving_ && Each.Host_ == Self_)
      continue;
    const auto At =
        std::find(Preference.begin(), Preference.end(), Each.Region_);
    Order.push_back({At - Preference.begin(),
                     base::stableHash(Each.Host_.name(), CallerAddress),
                     &Each});
  }
  std::sort(Order.begin(), Order.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return std::tie(Left.Region_, Left.Place_) <
                     std::tie(Right.Region_, Right.Place_);
            });
  gateway::HostAnswer Found;
  Found.TimeToLive_ = TimeToLive_;
  Found.SettingsVersion_ = Settings->intent()->Version_;
  Found.Hosts_.reserve(Order.size());
  for (const Ranked &Each : Order)
    Found.Hosts_.push_back(*Each.Host_);
  return Found;
}

void FleetDirectory::announceLeaving(base::TimePoint /*Now*/) {
  if (!Leaving_.exchange(true) && Leave_)
    Leave_();
}

} // namespace lychee::daemon
