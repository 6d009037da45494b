#ifndef LYCHEE_TESTS_GATEWAY_RAWTARGET_H
#define LYCHEE_TESTS_GATEWAY_RAWTARGET_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lychee::tests {

/// A target that sends exactly the bytes it is told to, connection after
/// connection, each on a thread of its own.
class RawTarget {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Serves one connection; the connection ends when it returns.
  using Script = std::function<void(Socket &)>;

  explicit RawTarget(Script Serve);
  RawTarget(const RawTarget &) = delete;
  RawTarget &operator=(const RawTarget &) = delete;
  ~RawTarget();

  std::string address() const;

  /// Reads up to the end of a request's head.
  /// \returns the head; empty where the connection ended.
  static std::string readHead(Socket &From);
  static void send(Socket &To, const std::string &Bytes);
  /// Waits until the other side ends the connection.
  static void waitForEnd(Socket &From);

private:
  void acceptAll();

  const Script Serve_;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::jthread> Served_;
  std::jthread Accepting_;
};

} // namespace lychee::tests

#endif
