#ifndef LYCHEE_FLEET_SETTINGSSPREAD_H
#define LYCHEE_FLEET_SETTINGSSPREAD_H

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

/// Brings the operators' settings to this host and tells others of them: from
/// the store where this host talks to it, else from the peer that has them.
/// Whoever gets a newer root in force hints to its zone and to a few hosts of
/// other zones, who fetch it from there; a hint that is lost is made up for by
/// the versions in the next heartbeat. \see docs/design/settings-spread.md
///
/// Every member runs on the executor given, a strand, unless it says otherwise.
class SettingsSpread {
public:
  /// Hosts of other zones that are hinted at: three from each host that newly
  /// has it reach 122 zones in five rounds.
  static constexpr std::size_t OtherZoneHints = 3;

  SettingsSpread(boost::asio::any_io_executor Strand, FleetState &State,
                 store::Store &Used, PeerClient &Peers,
                 const FleetListeners &Listeners, std::uint64_t Seed);
  SettingsSpread(const SettingsSpread &) = delete;
  SettingsSpread &operator=(const SettingsSpread &) = delete;

  /// Asks the store for the newest version, and fetches it where this host has
  /// not got it. \returns false where the store did not answer.
  boost::asio::awaitable<bool> checkStore();

  /// Waits at the store for a root past the newest known and fetches it.
  boost::asio::awaitable<bool> watchStore(base::Duration Wait);

  /// Fetches from the peer at IP:PORT what it has newer. From any thread.
  void fetchFrom(const std::string &Peer);

  /// This host wrote the root itself. From any thread.
  void wrote(std::uint64_t StoreVersion, std::string RootText,
             std::map<std::string, std::string> Chunks);

private:
  boost::asio::awaitable<void>
  takeWritten(std::uint64_t StoreVersion, std::string RootText,
              std::map<std::string, std::string> Chunks);
  /// One pull at a time; further peers wait their turn.
  boost::asio::awaitable<void> pullInTurn(std::string Peer);
  boost::asio::awaitable<void> pull(const std::string &Peer);
  boost::asio::awaitable<bool> pullChunks(const std::string &Peer);
  boost::asio::awaitable<bool> fetchRoot();
  boost::asio::awaitable<void> fetchChunks();
  boost::asio::awaitable<void> hint(std::string Peer);
  bool offerRoot(std::uint64_t StoreVersion, std::string_view Text);
  void tellIfNewer(std::string_view From);
  std::set<std::string> hinted();
  void log(std::string_view Line) const;

  const boost::asio::any_io_executor Strand_;
  FleetState &State_;
  store::Store &Store_;
  PeerClient &Peers_;
  const FleetListeners &Listeners_;
  base::Random Random_;
  std::uint64_t Told_ = 0;
  bool Pulling_ = false;
  std::set<std::string> PullNext_;
};

} // namespace lychee::fleet

#endif
