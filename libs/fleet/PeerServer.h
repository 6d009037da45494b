#ifndef LYCHEE_FLEET_PEERSERVER_H
#define LYCHEE_FLEET_PEERSERVER_H

#include "base/Error.h"
#include "fleet/PeerAuthenticator.h"
#include "fleet/rpc/RpcDispatcher.h"
#include "transport/HttpServer.h"

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>

namespace lychee::fleet {

/// Calls that a listener has accepted and refused so far.
struct PeerServerCounts {
  std::uint64_t FromHosts_ = 0;
  std::uint64_t FromOperators_ = 0;
  /// Indexed by ProofVerdict; the entry of ProofVerdict::Valid stays 0.
  std::array<std::uint64_t, 5> Refused_{};
  std::uint64_t BytesIn_ = 0;
  std::uint64_t BytesOut_ = 0;
};

/// The listener for peers and operators: POST /rpc with a JSON-RPC 2.0 call
/// that carries a host's proof or an operator's bearer token. Handlers run on a
/// small thread pool of their own, so that a blocking handler delays neither
/// callers nor the receipt of heartbeats. \see PeerClient, RpcDispatcher
class PeerServer {
public:
  /// \param Handlers  has all methods bound already; must outlive the server.
  PeerServer(boost::asio::any_io_executor Executor,
             transport::HttpServerOptions Options, RpcDispatcher &Handlers,
             PeerAuthenticator &Authenticator);
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;
  /// Stops, and waits for running handlers.
  ~PeerServer();

  bool listen(base::Error &Last) { return Server_.listen(Last); }
  std::uint16_t port() const noexcept { return Server_.port(); }
  void stop() { Server_.stop(); }

  PeerServerCounts counts() const noexcept;

private:
  boost::asio::awaitable<transport::HttpAnswer>
  answer(transport::HttpRequest Request);
  boost::asio::awaitable<std::string> runHandler(RpcCaller Caller,
                                                 std::string Body);
  ProofVerdict authenticate(const transport::HttpRequest &Request,
                            RpcCaller &Caller, std::string &Nonce);

  RpcDispatcher &Handlers_;
  PeerAuthenticator &Authenticator_;
  boost::asio::thread_pool Workers_;
  std::atomic<std::uint64_t> FromHosts_ = 0;
  std::atomic<std::uint64_t> FromOperators_ = 0;
  std::array<std::atomic<std::uint64_t>, 5> Refused_{};
  std::atomic<std::uint64_t> BytesIn_ = 0;
  std::atomic<std::uint64_t> BytesOut_ = 0;
  transport::HttpServer Server_;
};

} // namespace lychee::fleet

#endif
