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

/// Calls the methods of other hosts, each call with one deadline. Keeps a few
/// connections to each peer it talks to. Safe to use from several threads.
/// \see PeerServer
class PeerClient {
public:
  /// \param Seed  seeds the nonces; from the machine in programs.
  /// \param Traffic  counts the calls' bytes; may be null.
  PeerClient(boost::asio::any_io_executor Executor, base::HostId Self,
             const PeerAuthenticator &Authenticator, std::uint64_t Seed,
             transport::TrafficCounter *Traffic = nullptr);
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// \param Peer  IP:PORT of the other host's peer listener.
  /// \param Parameters  a JSON object's text.
  /// \returns the result as JSON text, or nothing and \p Last filled. Where
  /// nothing is returned the call may have run all the same.
  boost::asio::awaitable<std::optional<std::string>>
  call(std::string Peer, std::string Method, std::string Parameters,
       base::Duration Timeout, base::Error &Last);

  /// Fault path for tests: calls to these peers fail at once, as if the
  /// network between had gone.
  void cutOff(std::set<std::string> Peers);

  /// Drops the connections to a host that left the fleet.
  void forget(const std::string &Peer);

  std::uint64_t calls() const noexcept { return Calls_; }
  std::uint64_t failures() const noexcept { return Failures_; }
  std::uint64_t bytesOut() const noexcept { return BytesOut_; }
  std::uint64_t bytesIn() const noexcept { return BytesIn_; }

private:
  std::shared_ptr<transport::HttpClient> clientOf(const std::string &Peer,
                                                  base::Error &Last);
  std::string drawNonce();
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
  std::set<std::string> CutOff_;
  std::atomic<std::uint64_t> Calls_ = 0;
  std::atomic<std::uint64_t> Failures_ = 0;
  std::atomic<std::uint64_t> BytesOut_ = 0;
  std::atomic<std::uint64_t> BytesIn_ = 0;
};

} // namespace lychee::fleet

#endif
