#ifndef LYCHEE_FLEET_SETTINGSPROPAGATOR_H
#define LYCHEE_FLEET_SETTINGSPROPAGATOR_H

#include "base/Random.h"
#include "fleet/FleetListeners.h"
#include "fleet/FleetState.h"
#include "fleet/PeerClient.h"
#include "store/Store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>
#include <string>

namespace lychee::fleet {

/// Fetches the operators' settings for this host and announces them to others.
/// A host that reads the store fetches them from there, any other from a peer
/// that has them. A host that has applied a newer root sends a hint to the
/// hosts of its zone and to a few hosts of other zones, which then fetch the
/// root from it. A lost hint is made up for by the versions in the next
/// heartbeat. \see docs/design/settings-spread.md
///
/// Every member runs on the given executor, a strand, unless stated otherwise.
class SettingsPropagator {
public:
  /// Number of hosts of other zones that receive a hint. Three from each host
  /// that newly applied the root reach 122 zones in five rounds.
  static constexpr std::size_t OtherZoneHintCount = 3;

  SettingsPropagator(boost::asio::any_io_executor Strand, FleetState &State,
                     store::Store &Store, PeerClient &Peers,
                     const FleetListeners &Listeners, std::uint64_t Seed);
  SettingsPropagator(const SettingsPropagator &) = delete;
  SettingsPropagator &operator=(const SettingsPropagator &) = delete;

  /// Reads the newest version from the store, and fetches the settings if this
  /// host lacks them. \returns false if the store did not answer.
  boost::asio::awaitable<bool> checkStore();

  /// Watches the store for a root newer than the newest known one and fetches
  /// it.
  /// \returns false if the store did not answer.
  boost::asio::awaitable<bool> watchStore(base::Duration Timeout);

  /// Fetches newer settings from the peer at IP:PORT. May be called from any
  /// thread.
  void fetchFrom(const std::string &Peer);

  /// Takes over settings that this host itself wrote to the store. May be
  /// called from any thread.
  void notifyWritten(std::uint64_t StoreVersion, std::string RootText,
                     std::map<std::string, std::string> Chunks);

private:
  boost::asio::awaitable<void>
  applyWritten(std::uint64_t StoreVersion, std::string RootText,
               std::map<std::string, std::string> Chunks);
  /// Runs one pull at a time; further peers are queued.
  boost::asio::awaitable<void> enqueuePull(std::string Peer);
  boost::asio::awaitable<void> pull(const std::string &Peer);
  boost::asio::awaitable<bool> pullChunks(const std::string &Peer);
  boost::asio::awaitable<bool> fetchRoot();
  boost::asio::awaitable<void> fetchChunks();
  boost::asio::awaitable<void> sendHint(std::string Peer);
  bool addRoot(std::uint64_t StoreVersion, std::string_view Text);
  void announceIfNewer(std::string_view Source);
  std::set<std::string> hintRecipients();
  void log(std::string_view Line) const;

  const boost::asio::any_io_executor Strand_;
  FleetState &State_;
  store::Store &Store_;
  PeerClient &Peers_;
  const FleetListeners &Listeners_;
  base::Random Random_;
  std::uint64_t AnnouncedVersion_ = 0;
  bool Pulling_ = false;
  std::set<std::string> PendingPulls_;
};

} // namespace lychee::fleet

#endif
