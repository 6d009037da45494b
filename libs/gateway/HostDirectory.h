#ifndef LYCHEE_GATEWAY_HOSTDIRECTORY_H
#define LYCHEE_GATEWAY_HOSTDIRECTORY_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lychee::gateway {

/// One host that callers may use.
struct HostEntry {
  base::HostId Host_;
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// IP:PORT of its caller listener.
  std::string Address_;
};

/// Where to find a service.
struct HostAnswer {
  /// Nearest first; a leaving host is absent.
  std::vector<HostEntry> Hosts_;
  /// How long the caller may keep the answer.
  base::Duration TimeToLive_{};
  std::uint64_t SettingsVersion_ = 0;
};

/// Knows the hosts of the fleet as callers should see them. Called from
/// several threads, many thousand times a second each: implementations answer
/// from memory. \see Lookup
class HostDirectory {
public:
  HostDirectory() = default;
  HostDirectory(const HostDirectory &) = delete;
  HostDirectory &operator=(const HostDirectory &) = delete;
  virtual ~HostDirectory() = default;

  /// \param CallerAddress  IPv4 address of the caller in host byte order.
  /// \returns nothing where no such service is known.
  virtual std::optional<HostAnswer> lookUp(const base::ServiceId &Service,
                                           std::uint32_t CallerAddress,
                                           base::TimePoint Now) = 0;

  /// From now on look-ups at any host leave this host out. First step of a
  /// graceful stop; called once.
  virtual void announceLeaving(base::TimePoint Now) = 0;
};

} // namespace lychee::gateway

#endif
