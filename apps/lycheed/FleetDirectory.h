#ifndef LYCHEE_APPS_LYCHEED_FLEETDIRECTORY_H
#define LYCHEE_APPS_LYCHEED_FLEETDIRECTORY_H

#include "gateway/HostDirectory.h"
#include "lycheed/SettingsHolder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace lychee::daemon {

/// Answers callers' look-ups from memory: hosts of the caller's nearest region
/// first, within a region in an order that differs from caller to caller, so
/// that callers spread over the hosts without a balancer before them.
class FleetDirectory final : public gateway::HostDirectory {
public:
  /// \param Leave  called once, when this host begins to stop.
  FleetDirectory(const SettingsHolder &Settings, base::HostId Self,
                 base::Duration TimeToLive, std::function<void()> Leave);

  /// Replaces the hosts that callers may use. Thread-safe.
  void setHosts(std::vector<gateway::HostEntry> Hosts);

  std::optional<gateway::HostAnswer> lookUp(const base::ServiceId &Service,
                                            std::uint32_t CallerAddress,
                                            base::TimePoint Now) override;

  void announceLeaving(base::TimePoint Now) override;

  bool leaving() const noexcept { return Leaving_; }

private:
  using Hosts = std::vector<gateway::HostEntry>;

  std::shared_ptr<const Hosts> hosts() const;

  const SettingsHolder &Settings_;
  const base::HostId Self_;
  const base::Duration TimeToLive_;
  const std::function<void()> Leave_;
  std::atomic<bool> Leaving_ = false;
  mutable std::mutex Lock_;
  std::shared_ptr<const Hosts> Hosts_ = std::make_shared<const Hosts>();
};

} // namespace lychee::daemon

#endif
