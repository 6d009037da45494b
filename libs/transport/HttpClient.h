#ifndef LYCHEE_TRANSPORT_HTTPCLIENT_H
#define LYCHEE_TRANSPORT_HTTPCLIENT_H

#include "base/Error.h"
#include "base/Time.h"
#include "transport/HttpMessage.h"
#include "transport/TrafficCounter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::transport {

/// Where a client connects to and what it takes from there.
struct HttpClientOptions {
  std::string Address_;
  std::uint16_t Port_ = 0;
  /// Longest answer body taken.
  std::size_t BodyLimitBytes_ = 4 << 20;
  /// A connection that was idle for longer is closed, not used again: the
  /// longer it was idle, the likelier something between the two ends has lost
  /// track of it, and a call on it would cost its whole deadline.
  base::Duration IdleLimit_ = std::chrono::seconds(10);
  /// Counts what goes over the connections; may be null.
  TrafficCounter *Traffic_ = nullptr;
  /// A connection whose peer is silent on the wire for about this long fails,
  /// also while a long answer is waited for; zero: only the call's own timeout
  /// ends it. Whole seconds.
  std::chrono::seconds DeadPeerLimit_{0};
};

/// Calls one HTTP server, with a few kept connections. Each call has one
/// deadline over connecting, writing and reading; a connection on which a call
/// failed is closed, never used again. Safe to use from several threads; must
/// outlive its calls.
class HttpClient {
public:
  HttpClient(boost::asio::any_io_executor Executor, HttpClientOptions Options);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// \param Sent  set to true once the server may have seen the request; false
  /// means that it certainly has not run.
  /// \param Step  names the call in \p Last.
  /// \param Closed  set to true if the server closed the connection without a
  /// byte of an answer; may be null.
  /// \returns the answer, or nothing and \p Last filled.
  boost::asio::awaitable<std::optional<HttpAnswer>>
  exchange(HttpRequest Request, base::Duration Timeout, std::string_view Step,
           bool &Sent, base::Error &Last, bool *Closed = nullptr);

  /// Ends all calls begun before \p Moment, as if their connections had been
  /// cut.
  void abandonBegunBefore(base::TimePoint Moment);

  /// IP:PORT of the server.
  const std::string &peer() const noexcept { return Peer_; }

private:
  class Connection;

  std::shared_ptr<Connection> takeIdle();
  void keepIdle(std::shared_ptr<Connection> Kept);
  void noteBusy(const std::shared_ptr<Connection> &Used);

  const boost::asio::any_io_executor Executor_;
  const HttpClientOptions Options_;
  const std::string Peer_;
  std::mutex Lock_;
  std::vector<std::shared_ptr<Connection>> Idle_;
  /// Those that carry a call now, some of which may have ended.
  std::vector<std::weak_ptr<Connection>> Busy_;
};

} // namespace lychee::transport

#endif
