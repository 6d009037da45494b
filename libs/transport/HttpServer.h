#ifndef LYCHEE_TRANSPORT_HTTPSERVER_H
#define LYCHEE_TRANSPORT_HTTPSERVER_H

#include "base/Error.h"
#include "base/Time.h"
#include "transport/HttpMessage.h"
#include "transport/TrafficCounter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lychee::transport {

/// What a listener takes from whoever connects.
struct HttpServerOptions {
  /// Port 0 lets the system choose; \see HttpServer::port.
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::size_t BodyLimitBytes_ = 4 << 20;
  std::size_t HeaderLimitBytes_ = 16 << 10;
  /// Connections served at once, so that a flood of them cannot take the memory
  /// or the descriptors of the daemon. A further one takes the place of the one
  /// that has waited longest without a request; where none waits, it is closed.
  std::size_t ConnectionLimit_ = 1024;
  /// A request must be whole this long after the one before it ended.
  base::Duration ReadTimeout_ = std::chrono::seconds(60);
  /// Counts what goes over the connections; may be null.
  TrafficCounter *Traffic_ = nullptr;
};

/// Answers whole HTTP requests of the system's own processes and of operators.
/// Each connection is served on a strand of its own. Not for callers, whose
/// bodies stream. \see HttpClient, gateway
class HttpServer {
public:
  using Handler =
      std::function<boost::asio::awaitable<HttpAnswer>(HttpRequest)>;

  HttpServer(boost::asio::any_io_executor Executor, HttpServerOptions Options,
             Handler Answers);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// Stops.
  ~HttpServer();

  /// Binds and begins to accept. \returns false, and \p Last filled, where the
  /// address cannot be bound.
  bool listen(base::Error &Last);

  /// The bound port; 0 before listen().
  std::uint16_t port() const noexcept;

  /// Closes the listener and every connection. Calls of the handler that run
  /// end on their own; their answers go nowhere.
  void stop();

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace lychee::transport

#endif
