#ifndef LYCHEE_FLEET_FLEETNODE_H
#define LYCHEE_FLEET_FLEETNODE_H

#include "base/Random.h"
#include "fleet/FleetListeners.h"
#include "fleet/FleetState.h"
#include "fleet/PeerClient.h"
#include "fleet/SettingsSpread.h"
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

/// Where a host stands and how it finds the others.
struct FleetNodeOptions {
  base::ZoneId Zone_;
  /// Host, region, both addresses, and an incarnation that rises with each
  /// start, such as the milliseconds since 1970.
  Member Self_;
  /// Peer listeners asked while no member is known.
  std::vector<std::string> SeedPeers_;
  LeaseTiming LeaseTiming_;
  /// Seeds choices among peers.
  std::uint64_t RandomSeed_ = 1;
};

/// One host's part in the fleet: heartbeats, its zone's record where it is the
/// relay, the settings, and the calls between hosts that carry them.
///
/// Makes its own calls from start() to stop(); destroy it after the context's
/// threads have ended. What it knows is asked for from any thread.
/// \see FleetState, which decides; docs/design/membership.md
class FleetNode {
public:
  /// Binds the fleet's methods to \p Handlers.
  FleetNode(boost::asio::io_context &Context, store::Store &Used,
            PeerClient &Peers, RpcDispatcher &Handlers,
            FleetNodeOptions Options, FleetListeners Listeners);
  FleetNode(const FleetNode &) = delete;
  FleetNode &operator=(const FleetNode &) = delete;

  void start();
  void stop() noexcept { Stopped_ = true; }

  /// Tells the zone that this host is gone: it answers no more requests.
  boost::asio::awaitable<void> leave();

  /// Tells with each heartbeat that this host takes nothing new.
  void setLeaving() { State_.setLeaving(); }

  LeaseGuard &leaseGuard() noexcept { return State_.guard(); }
  const LeaseGuard &guard() const noexcept { return State_.guard(); }
  Directory directory() const { return State_.directory(); }
  ZoneRecord record() const { return State_.record(); }
  bool isRelay() const { return State_.isRelay(); }
  /// \copydoc FleetState::admitted
  std::uint64_t admissionGeneration() const { return State_.admitted(); }
  std::uint64_t settingsInForce() { return State_.inForce(); }

  /// \returns how long ago every change accepted until then was known to be in
  /// force; nothing where it never was. A host whose answer is past the bound
  /// on withdrawn keys must refuse.
  std::optional<base::Duration> settingsAge(base::TimePoint Now) const;

  /// This host wrote the settings' root at \p StoreVersion.
  void notifySettingsWritten(std::uint64_t StoreVersion, std::string RootText,
                             std::map<std::string, std::string> Chunks) {
    Spread_.wrote(StoreVersion, std::move(RootText), std::move(Chunks));
  }

private:
  boost::asio::awaitable<void> beatLoop();
  boost::asio::awaitable<void> recordLoop();
  boost::asio::awaitable<void> directoryLoop();
  boost::asio::awaitable<void> settingsLoop();
  boost::asio::awaitable<void> watchLoop();

  boost::asio::awaitable<void> beatOnce();
  boost::asio::awaitable<bool> beatTo(std::string Peer, std::string Request);
  boost::asio::awaitable<void> beatBack(std::string Peer);
  boost::asio::awaitable<void> compareElsewhere(std::string Request);
  boost::asio::awaitable<void> askPledge(Member Peer);
  boost::asio::awaitable<void> askViews(std::string Peer);
  boost::asio::awaitable<void> hintRecord(std::string Peer);
  boost::asio::awaitable<void> writeRecord(RecordPlan Plan);
  boost::asio::awaitable<void> readRecord();
  boost::asio::awaitable<void> leaveAlone();
  boost::asio::awaitable<void> checkDirectory();
  boost::asio::awaitable<void> writeDirectory(Directory Next,
                                              std::uint64_t Version);

  base::Duration beatSpan();
  bool mustReadRecord() const;
  std::vector<std::string> othersElsewhere() const;
  void tellDirectory();
  void log(std::string_view Line) const;

  const boost::asio::any_io_executor Strand_;
  store::Store &Store_;
  PeerClient &Peers_;
  const FleetNodeOptions Options_;
  const FleetListeners Listeners_;
  FleetState State_;
  SettingsSpread Spread_;
  base::Random Random_;
  std::atomic<bool> Stopped_ = false;
  int BeatsFailed_ = 0;
  bool ReadBack_ = false;
  std::uint64_t EpochTold_ = 0;
};

} // namespace lychee::fleet

#endif
