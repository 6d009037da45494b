#ifndef LYCHEE_SETTINGS_DAEMONSETTINGS_H
#define LYCHEE_SETTINGS_DAEMONSETTINGS_H

#include "base/Id.h"
#include "base/Time.h"
#include "settings/Problem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// An IP address and a port, as a process binds or connects to it.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  std::string text() const { return Address_ + ":" + std::to_string(Port_); }
  bool operator==(const Endpoint &) const = default;
};

/// What a daemon reads where intent and targets are live: told by the objects
/// of a store that others write, and not by the operators' own tree.
/// \see live::ActiveIntent
struct LiveSettings {
  /// Callers ask here which hosts to use.
  Endpoint Directory_;
  /// Whoever runs the hosts asks here whether this one is ready.
  Endpoint Readiness_;
  /// Heartbeats between hosts, as datagrams; all hosts use one port.
  Endpoint Heartbeats_;
  /// Hosts ask each other here what the store told; all use one port.
  Endpoint Relays_;
  /// Hosts to send heartbeats to before any others are known.
  std::vector<std::string> SeedAddresses_;
  /// The region of each availability zone.
  std::map<base::ZoneId, base::RegionId> Zones_;
  /// Figures that the deployment promises, one "name=value" each.
  std::vector<std::string> Bounds_;
  /// Parts of the platform's rules that are in force.
  std::vector<std::string> Contracts_;
  /// Decisions on heavy load that are made whatever the contracts say.
  /// \see live::LoadFeatures
  bool FairShares_ = false;
  bool PacedReturns_ = false;
  bool LeadingSplit_ = false;
};

/// What one daemon reads from its own INI file: where it stands and whom it
/// talks to. What it steers by is the operators' Intent, from the store.
/// \see Intent
struct DaemonSettings {
  // [host]
  base::HostId Host_;
  base::RegionId Region_;
  base::ZoneId Zone_;
  std::uint32_t Threads_ = 2;
  /// Descriptors that the process may have; 0: what the system says.
  std::uint32_t Descriptors_ = 0;
  /// IP from which targets are connected to; empty: the kernel chooses.
  std::string Source_;

  // [callers]
  Endpoint Callers_;
  std::uint32_t HeaderLimitBytes_ = 16 * 1024;
  std::uint64_t BodyLimitBytes_ = 1ULL << 30;
  std::uint64_t BodyMemoryBytes_ = 48ULL << 20;
  std::uint32_t ConnectionLimit_ = 20000;
  base::Duration IdleTimeout_ = std::chrono::seconds(60);
  base::Duration HeaderTimeout_ = std::chrono::seconds(10);
  /// A body must go on within this time.
  base::Duration ProgressTimeout_ = std::chrono::seconds(20);

  // [peers]
  Endpoint Peers_;
  /// Hosts asked first when this one starts; the lease list tells the rest.
  std::vector<Endpoint> Seeds_;
  /// Shared by all hosts of the fleet; at least 32 bytes.
  std::string FleetSecret_;

  // [metrics]
  Endpoint Metrics_;

  // [store]
  Endpoint Store_;
  base::Duration StoreTimeout_ = std::chrono::seconds(2);
  double StoreCallsPerSecond_ = 20;

  // [stop]
  /// Answers of the look-up may be kept this long; a stop waits it out.
  base::Duration LookupTimeToLive_ = std::chrono::seconds(5);
  base::Duration StopDeadline_ = std::chrono::seconds(30);

  // [operators]
  /// SHA-256 of the token that opens every path, hexadecimal; empty where only
  /// the teams' own tokens count. A new fleet's first settings need it.
  std::string BootstrapTokenHash_;

  // [log]
  std::string LogLevel_ = "info";

  // [live] and [zone NAME]; where [live] stands, [peers] does not.
  std::optional<LiveSettings> Live_;
};

/// Parses a daemon's INI text; an unknown key is a problem.
/// \param File  names the text in problems.
/// \returns nothing, and at least one problem, where anything is wrong.
std::optional<DaemonSettings> parseDaemonSettings(std::string_view Text,
                                                  std::string_view File,
                                                  Problems &Found);

} // namespace lychee::settings

#endif
