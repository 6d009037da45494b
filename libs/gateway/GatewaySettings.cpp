#include "gateway/GatewaySettings.h"

namespace lychee::gateway {

GatewaySettings gatewaySettingsOf(const settings::DaemonSettings &Daemon) {
  GatewaySettings Made;
  Made.Host_ = Daemon.Host_;
  Made.Callers_ = Daemon.Callers_;
  Made.Threads_ = Daemon.Threads_;
  Made.Source_ = Daemon.Source_;
  Made.ConnectionLimit_ = Daemon.ConnectionLimit_;
  Made.HeaderLimitBytes_ = Daemon.HeaderLimitBytes_;
  Made.BodyLimitBytes_ = Daemon.BodyLimitBytes_;
  Made.BodyMemoryBytes_ = Daemon.BodyMemoryBytes_;
  Made.IdleTimeout_ = Daemon.IdleTimeout_;
  Made.HeaderTimeout_ = Daemon.HeaderTimeout_;
  Made.ProgressTimeout_ = Daemon.ProgressTimeout_;
  Made.LookupTimeToLive_ = Daemon.LookupTimeToLive_;
  Made.StopDeadline_ = Daemon.StopDeadline_;
  return Made;
}

} // namespace lychee::gateway
