#ifndef LYCHEE_APPS_LYCHEED_CONTROLGAUGES_H
#define LYCHEE_APPS_LYCHEED_CONTROLGAUGES_H

#include "fleet/PeerServer.h"
#include "reporting/Metrics.h"
#include "store/GuardedStore.h"

#include <cstdint>
#include <optional>

namespace lychee::daemon {

/// What control costs and how it stands, read when metrics are asked for.
struct ControlReadings {
  std::uint64_t PeerCalls_ = 0;
  std::uint64_t PeerFailures_ = 0;
  std::uint64_t PeerBytesOut_ = 0;
  std::uint64_t PeerBytesIn_ = 0;
  fleet::PeerServerCounts Listener_;
  store::CallCounts Store_;
  std::uint64_t ClaimWrites_ = 0;
  std::uint64_t SettingsVersion_ = 0;
  std::optional<base::Duration> SettingsAge_;
  bool LeaseStands_ = false;
  std::uint64_t Epoch_ = 0;
  bool EpochSettled_ = false;
  std::uint32_t InFlight_ = 0;
  std::uint32_t Connections_ = 0;
};

/// The gauges of the daemon's control part. \see reporting::Metrics
class ControlGauges {
public:
  explicit ControlGauges(reporting::Metrics &Metrics);

  void set(const ControlReadings &Read) const;

private:
  reporting::Gauge PeerCalls_;
  reporting::Gauge PeerFailures_;
  reporting::Gauge PeerBytesOut_;
  reporting::Gauge PeerBytesIn_;
  reporting::Gauge StrangersRefused_;
  reporting::Gauge StoreReads_;
  reporting::Gauge StoreWrites_;
  reporting::Gauge StoreWatches_;
  reporting::Gauge StoreFailures_;
  reporting::Gauge StoreOverBudget_;
  reporting::Gauge ClaimWrites_;
  reporting::Gauge SettingsVersion_;
  reporting::Gauge SettingsAge_;
  reporting::Gauge LeaseStands_;
  reporting::Gauge Epoch_;
  reporting::Gauge EpochSettled_;
  reporting::Gauge InFlight_;
  reporting::Gauge Connections_;
};

} // namespace lychee::daemon

#endif
