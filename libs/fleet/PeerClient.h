#ifndef LYCHEE_FLEET_PEERCLIENT_H
#define LYCHEE_FLEET_PEERCLIENT_H

#include "base/Error.h"
#include "base/Id.h"
#include "base/Random.h"
#include "base/Time.h"
#include "fleet/PeerAuthenticator.h"
#include "transport/HttpClient.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lychee::fleet {

/// Calls RPC methods of other hosts, each call with one deadline. Keeps a few
/// connections to each peer it talks to. Safe to use from several threads.
/// \see PeerServer
class PeerClient {
public:
  /// \param Seed  seeds the nonces; programs take it from the operating
  /// system's entropy.
  /// \param Traffic  counts the bytes of all calls; may be null.
  PeerClient(boost::asio::any_io_executor Executor, base::HostId Self,
             const PeerAuthenticator &Authenticator, std::uint64_t Seed,
             transport::TrafficCounter *Traffic = nullptr);
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// \param Peer  IP:PORT of the other host's peer listener.
  /// \param Parameters  the text of a JSON object.
  /// \returns the result as JSON text; nothing on failure, with \p Last filled.
  /// A call that failed may have run on the peer all the same.
  boost::asio::awaitable<std::optional<std::string>>
  call(std::string Peer, std::string Method, std::string Parameters,
       base::Duration Timeout, base::Error &Last);

  /// Fault injection for tests: calls to these peers fail at once, as in a
  /// network partition. Replaces the peers of the previous call.
  void blockPeers(std::set<std::string> Peers);

  /// Closes the connections to a host that left the fleet.
  void closeConnections(const std::string &Peer);

  std::uint64_t calls() const noexcept { return Calls_; }
  std::uint64_t failures() const noexcept { return Failures_; }
  std::uint64_t bytesOut() const noexcept { return BytesOut_; }
  std::uint64_t bytesIn() const noexcept { return BytesIn_; }

private:
  std::shared_ptr<transport::HttpClient> clientOf(const std::string &Peer,
                                                  base::Error &Last);
  std::string makeNonce();
  boost::asio::awaitable<std::optional<std::string>>
  exchange(const std::string &Peer, const std::string &Method, std::string Body,
           base::Duration Timeout, base::Error &Last);

  const boost::asio::any_io_executor Executor_;
  const base::HostId Self_;
  const PeerAuthenticator &Authenticator_;
  transport::TrafficCounter *const Traffic_;
  std::mutex Lock_;
  base::Random Random_;
  std::map<std::string, std::shared_ptr<transport::HttpClient>> Clients_;
  std::set<std::string> BlockedPeers_;
  std::atomic<std::uint64_t> Calls_ = 0;
  std::atomic<std::uint64_t> Failures_ = 0;
  std::atomic<std::uint64_t> BytesOut_ = 0;
  std::atomic<std::uint64_t> BytesIn_ = 0;
};

} // namespace lychee::fleet

#endif
