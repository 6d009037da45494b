#ifndef LYCHEE_OPERATIONS_FLEETVIEW_H
#define LYCHEE_OPERATIONS_FLEETVIEW_H

#include "base/Id.h"
#include "base/Time.h"
#include "settings/Intent.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lychee::operations {

/// How one host is, as it tells an operator.
struct HostStatus {
  base::HostId Host_;
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// The settings in force here; 0 before the first.
  std::uint64_t SettingsVersion_ = 0;
  /// How long ago the settings were known to be the newest.
  base::Duration SettingsAge_{};
  /// Until then the host may count on its share of every budget.
  bool LeaseValid_ = false;
  bool Stopping_ = false;
  std::uint64_t RequestsInFlight_ = 0;
  std::uint64_t RequestsWaiting_ = 0;
};

/// A host that the lease list names.
struct MemberStatus {
  base::HostId Host_;
  base::ZoneId Zone_;
  /// IP:PORT of its peer and operator listener.
  std::string Address_;
  bool Leaving_ = false;
};

/// What the operators' side asks of the daemon that it runs in; implemented by
/// the daemon. Every answer comes from memory: these work without the store.
class FleetView {
public:
  FleetView() = default;
  FleetView(const FleetView &) = delete;
  FleetView &operator=(const FleetView &) = delete;
  virtual ~FleetView() = default;

  /// \returns the settings in force here, or null before the first.
  virtual std::shared_ptr<const settings::Intent> intent() const = 0;

  virtual HostStatus status(base::TimePoint Now) const = 0;

  virtual std::vector<MemberStatus> members() const = 0;

  /// \returns the remembered decisions on a request, oldest first.
  virtual std::vector<std::string>
  explain(const base::RequestId &Request) const = 0;
};

} // namespace lychee::operations

#endif
