#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <poll.h>
#include <string>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace transport = lychee::transport;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr const char *Head = "HTTP/1.1 200 OK\r\nX-Name: r1\r\n";

} // namespace

/// The client of our own processes, whose server sends exactly what it is told.
TEST_GROUP(BrokenAnswer) {
  asio::io_context Loop_;
  asio::io_context Other_;
  tcp::acceptor Acceptor_{Other_, {asio::ip::address_v4::loopback(), 0}};
  transport::HttpClient Client_{
      Loop_.get_executor(),
      {.Address_ = "127.0.0.1", .Port_ = Acceptor_.local_endpoint().port()}};
  base::Error Last_;

  /// \returns a closed socket where nobody connects within seconds.
  tcp::socket acceptOne() {
    constexpr int LimitMilliseconds = 3000;
    pollfd Waiting{Acceptor_.native_handle(), POLLIN, 0};
    tcp::socket Peer(Other_);
    if (::poll(&Waiting, 1, LimitMilliseconds) == 1)
      Peer = Acceptor_.accept();
    return Peer;
  }
  static void readRequest(tcp::socket & From) {
    asio::streambuf Buffer;
    boost::system::error_code Ignored;
    asio::read_until(From, Buffer, "\r\n\r\n", Ignored);
  }
  static void send(tcp::socket & To, const std::string &Text) {
    boost::system::error_code Ignored;
    asio::write(To, asio::buffer(Text), Ignored);
  }

  /// \returns the body of the answer to one call; nothing if it has failed.
  std::optional<std::string> call(base::Duration Rest = {}) {
    std::optional<std::string> Body;
    asio::co_spawn(
        Loop_,
        [&]() -> asio::awaitable<void> {
          asio::steady_timer Timer(Loop_, Rest);
          co_await Timer.async_wait(asio::use_awaitable);
          bool Sent = false;
          transport::HttpRequest Asked;
          const auto Answer = co_await Client_.exchange(std::move(Asked), 5s,
                                                        "test", Sent, Last_);
          if (Answer && Answer->Status_ == 200)
            Body = Answer->Body_;
          Loop_.stop();
        },
        [](const std::exception_ptr &) {});
    Loop_.run();
    Loop_.restart();
    return Body;
  }
};

// Guards against a part of an answer that is taken for a whole one.
TEST(BrokenAnswer, noPartOfAnAnswerIsOne) {
  for (const std::string &Rest :
       {std::string("Content-Length: 5\r\n\r\nwhole"),
        std::string("Content-Length: 0\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n"
                    "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n")}) {
    const std::string Whole = Head + Rest;
    for (const bool Resets : {false, true})
      for (std::size_t Place = 0; Place < Whole.size(); ++Place) {
        std::jthread Answering([&] {
          tcp::socket Peer = acceptOne();
          readRequest(Peer);
          send(Peer, Whole.substr(0, Place));
          if (Resets)
            Peer.set_option(asio::socket_base::linger(true, 0));
        });
        CHECK_FALSE(call().has_value());
      }
  }
}

// What follows an answer was taken for the answer to the next call.
TEST(BrokenAnswer, bytesBehindAnAnswerAreNoAnswerToTheNextCall) {
  for (const base::Duration Later : {0ms, 20ms}) {
    std::jthread Answering([&] {
      tcp::socket First = acceptOne();
      readRequest(First);
      const std::string Foreign =
          std::string(Head) + "Content-Length: 7\r\n\r\nforeign";
      const std::string Own =
          std::string(Head) + "Content-Length: 3\r\n\r\nown";
      send(First, Later == base::Duration::zero() ? Own + Foreign : Own);
      std::this_thread::sleep_for(Later);
      if (Later > base::Duration::zero())
        send(First, Foreign);
      tcp::socket Second = acceptOne();
      readRequest(Second);
      send(Second, std::string(Head) + "Content-Length: 6\r\n\r\nsecond");
    });
    STRCMP_EQUAL("own", call().value_or("").c_str());
    STRCMP_EQUAL("second", call(Later * 5).value_or("").c_str());
    Client_.abandonBegunBefore(base::TimePoint::max());
  }
}

// An interim answer was taken for the answer, and the answer behind it for that
// to the next call.
TEST(BrokenAnswer, anInterimAnswerIsNotTheAnswer) {
  std::jthread Answering([&] {
    tcp::socket Peer = acceptOne();
    for (const char *Body : {"first", "other"}) {
      readRequest(Peer);
      send(Peer, std::string("HTTP/1.1 100 Continue\r\n\r\n") + Head +
                     "Content-Length: 5\r\n\r\n" + Body);
    }
  });
  STRCMP_EQUAL("first", call().value_or("").c_str());
  STRCMP_EQUAL("other", call().value_or("").c_str());
}

// A server that closes an idle connection failed the next call on it.
TEST(BrokenAnswer, aKeptConnectionThatWasClosedIsNotUsedAgain) {
  std::jthread Answering([&] {
    for (const char *Body : {"first", "other"}) {
      tcp::socket Peer = acceptOne();
      readRequest(Peer);
      send(Peer, std::string(Head) + "Content-Length: 5\r\n\r\n" + Body);
    }
  });
  STRCMP_EQUAL("first", call().value_or("").c_str());
  STRCMP_EQUAL("other", call(50ms).value_or("").c_str());
}
