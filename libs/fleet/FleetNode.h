#ifndef LYCHEE_FLEET_FLEETNODE_H
#define LYCHEE_FLEET_FLEETNODE_H

#include "base/Random.h"
#include "fleet/FleetListeners.h"
#include "fleet/FleetState.h"
#include "fleet/PeerClient.h"
#include "fleet/SettingsPropagator.h"
#include "fleet/rpc/RpcDispatcher.h"
#include "store/Store.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::fleet {

/// Identity of a host and how it finds the other hosts.
struct FleetNodeOptions {
  base::ZoneId Zone_;
  /// Host, region, both addresses, and an incarnation that rises with each
  /// start, such as milliseconds since 1970.
  Member Self_;
  /// IP:PORT of peer listeners that are contacted while no member is known.
  std::vector<std::string> SeedPeers_;
  LeaseTiming LeaseTiming_;
  /// Seeds the random choice of peers.
  std::uint64_t RandomSeed_ = 1;
};

/// Runs one host's side of the fleet protocol: sends heartbeats, writes the
/// zone's record if this host is the relay, keeps the directory and the
/// settings up to date, and answers the calls of peers.
///
/// Makes its own calls from start() to stop(). Destroy it after the threads of
/// the I/O context have ended. The accessors may be called from any thread.
/// \see FleetState, which takes the decisions; docs/design/membership.md
class FleetNode {
public:
  /// Binds the fleet's RPC methods to \p Handlers.
  FleetNode(boost::asio::io_context &Context, store::Store &Store,
            PeerClient &Peers, RpcDispatcher &Handlers,
            FleetNodeOptions Options, FleetListeners Listeners);
  FleetNode(const FleetNode &) = delete;
  FleetNode &operator=(const FleetNode &) = delete;

  void start();
  void stop() noexcept { Stopped_ = true; }

  /// Announces to the zone that this host leaves. Call it when the host serves
  /// no more requests.
  boost::asio::awaitable<void> leave();

  /// Announces with every heartbeat from now on that this host accepts no new
  /// requests.
  void setLeaving() { State_.setLeaving(); }

  LeaseGuard &leaseGuard() noexcept { return State_.leaseGuard(); }
  const LeaseGuard &leaseGuard() const noexcept { return State_.leaseGuard(); }
  Directory directory() const { return State_.directory(); }
  ZoneRecord zoneRecord() const { return State_.zoneRecord(); }
  bool isRelay() const { return State_.isRelay(); }
  /// \copydoc FleetState::admissionGeneration
  std::uint64_t admissionGeneration() const {
    return State_.admissionGeneration();
  }
  std::uint64_t appliedSettingsVersion() {
    return State_.appliedSettingsVersion();
  }

  /// \returns the age of the settings: how long ago this host was last known to
  /// have every change applied that had been accepted by then; nothing if it
  /// never was. A host whose settings are older than the bound on withdrawn
  /// keys must refuse requests.
  std::optional<base::Duration> settingsAge(base::TimePoint Now) const;

  /// Takes over settings that this host itself wrote to the store, with their
  /// root at version \p StoreVersion.
  void notifySettingsWritten(std::uint64_t StoreVersion, std::string RootText,
                             std::map<std::string, std::string> Chunks) {
    Propagator_.notifyWritten(StoreVersion, std::move(RootText),
                              std::move(Chunks));
  }

private:
  boost::asio::awaitable<void> heartbeatLoop();
  boost::asio::awaitable<void> recordLoop();
  boost::asio::awaitable<void> directoryLoop();
  boost::asio::awaitable<void> settingsLoop();
  boost::asio::awaitable<void> watchLoop();

  boost::asio::awaitable<void> sendHeartbeat();
  boost::asio::awaitable<bool> sendHeartbeatTo(std::string Peer,
                                               std::string Request);
  boost::asio::awaitable<void> fetchRecordFrom(std::string Peer);
  boost::asio::awaitable<void> syncOtherZone(std::string Request);
  boost::asio::awaitable<void> requestPledge(Member Peer);
  boost::asio::awaitable<void> requestFreshnessViews(std::string Peer);
  boost::asio::awaitable<void> sendRecordHint(std::string Peer);
  boost::asio::awaitable<void> writeRecord(RecordPlan Plan);
  boost::asio::awaitable<void> readRecord();
  boost::asio::awaitable<void> writeEmptyZone();
  boost::asio::awaitable<void> checkDirectory();
  boost::asio::awaitable<void> writeDirectory(Directory Next,
                                              std::uint64_t Version);

  base::Duration heartbeatInterval();
  bool mustReadRecord() const;
  std::vector<std::string> otherZonePeers() const;
  void announceDirectory();
  void log(std::string_view Line) const;

  const boost::asio::any_io_executor Strand_;
  store::Store &Store_;
  PeerClient &Peers_;
  const FleetNodeOptions Options_;
  const FleetListeners Listeners_;
  FleetState State_;
  SettingsPropagator Propagator_;
  base::Random Random_;
  std::atomic<bool> Stopped_ = false;
  int FailedHeartbeats_ = 0;
  bool ReadBackPending_ = false;
  std::uint64_t AnnouncedEpoch_ = 0;
};

} // namespace lychee::fleet

#endif
