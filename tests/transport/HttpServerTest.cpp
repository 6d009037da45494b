#include "transport/HttpServer.h"

#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <stdexcept>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace transport = lychee::transport;
using namespace std::chrono_literals;

TEST_GROUP(HttpServer) {
  asio::io_context Loop_;
  base::Error Last_;

  static asio::awaitable<transport::HttpAnswer> answer(
      transport::HttpRequest Asked) {
    if (Asked.Target_ == "/throw")
      throw std::runtime_error("a handler's failure");
    co_return transport::HttpAnswer();
  }
  asio::awaitable<unsigned> ask(std::uint16_t Port, std::string Target) {
    transport::HttpClient Client(Loop_.get_executor(),
                                 {.Address_ = "127.0.0.1", .Port_ = Port});
    transport::HttpRequest Asked;
    Asked.Method_ = "GET";
    Asked.Target_ = std::move(Target);
    bool Sent = false;
    const auto Answer =
        co_await Client.exchange(std::move(Asked), 5s, "test", Sent, Last_);
    co_return Answer ? Answer->Status_ : 0;
  }
};

// Each request whose handler threw took a connection's place for good.
TEST(HttpServer, failingHandlersLeaveRoomForOtherCallers) {
  constexpr std::uint32_t Limit = 3;
  transport::HttpServer Server(
      Loop_.get_executor(),
      {.Address_ = "127.0.0.1", .Port_ = 0, .ConnectionLimit_ = Limit},
      [](transport::HttpRequest Asked) { return answer(std::move(Asked)); });
  CHECK(Server.listen(Last_));
  unsigned Failed = 0;
  unsigned Sound = 0;
  asio::co_spawn(
      Loop_,
      [&]() -> asio::awaitable<void> {
        for (std::uint32_t Time = 0; Time < 3 * Limit; ++Time)
          Failed = co_await ask(Server.port(), "/throw");
        Sound = co_await ask(Server.port(), "/sound");
        Loop_.stop();
      },
      [](const std::exception_ptr &) {});
  Loop_.run();
  LONGS_EQUAL(500, Failed);
  LONGS_EQUAL(200, Sound);
}
