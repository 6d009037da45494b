#ifndef LYCHEE_STANDINS_TARGET_TARGETSESSION_H
#define LYCHEE_STANDINS_TARGET_TARGETSESSION_H

#include "standins/target/TargetServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace lychee::standins::target {

/// One connection to a stand-in target. Of the server's thread.
class TargetSession {
public:
  TargetSession(TargetServer &Server, boost::asio::ip::tcp::socket Accepted);
  TargetSession(const TargetSession &) = delete;
  TargetSession &operator=(const TargetSession &) = delete;
  ~TargetSession();

  boost::asio::awaitable<void> run();

  /// From now on nothing is answered; the connection stays open.
  void silence() noexcept { Silent_ = true; }
  void close();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<bool> readBody(Parser &Reader);
  boost::asio::awaitable<bool> serve(Parser &Reader);
  boost::asio::awaitable<bool> work(Parser &Reader, std::string_view Query);
  /// Refuses work. \param Rest  as Retry-After; empty: a second.
  boost::asio::awaitable<bool> turnAway(const std::string &Rest);
  boost::asio::awaitable<bool> answer(int Status, std::string Body, bool IsWork,
                                      std::string Extra = {});
  boost::asio::awaitable<bool> hang();
  boost::asio::awaitable<void> pause(base::Duration Span);
  std::string describe(Parser &Reader) const;
  /// \returns the line that tells the load; empty: none is told.
  std::string loadLine() const;
  bool crashes(Parser &Reader, const Faults &Set) const;

  TargetServer &Server_;
  boost::asio::ip::tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  bool Silent_ = false;
  bool IsHead_ = false;
  std::uint64_t BodyBytes_ = 0;
  std::uint64_t BodyHash_ = 0;
  /// The first bytes of the body, for crash_on.
  std::string BodyStart_;
};

} // namespace lychee::standins::target

#endif
