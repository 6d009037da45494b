#ifndef LYCHEE_TESTS_SUPPORT_HTTPCALL_H
#define LYCHEE_TESTS_SUPPORT_HTTPCALL_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <optional>
#include <string>

namespace lychee::tests {

/// What a caller sends.
struct CallerRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

/// What a caller got; Status_ 0 where the connection ended without an answer.
struct CallerAnswer {
  int Status_ = 0;
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  /// \returns the header in lower case, or empty.
  std::string header(const std::string &Name) const;
};

/// One caller's connection, kept open between requests; blocks. Gives up after
/// twenty seconds, longer than any deadline in the tests.
class CallerConnection {
public:
  /// \param Address  IP:PORT.
  explicit CallerConnection(const std::string &Address);
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  CallerAnswer send(const CallerRequest &Request);

  bool connected() const noexcept { return Connected_; }

private:
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  bool Connected_ = false;
};

/// One request on a connection of its own.
CallerAnswer call(const std::string &Address, const CallerRequest &Request);

/// A plain GET without a key, on a connection of its own.
CallerAnswer get(const std::string &Address, const std::string &Target);

} // namespace lychee::tests

#endif
