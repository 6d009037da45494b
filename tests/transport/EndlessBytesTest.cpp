#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace transport = lychee::transport;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

struct Endless {
  const char *Name_;
  std::string Begin_;
  /// Comes again and again until the other side closes.
  std::string Rest_;
};

/// The limits of a message and what the kernel holds on both sides are less.
constexpr std::size_t MostBytes = 32UL << 20;
constexpr std::size_t BodyLimit = 64UL << 10;

std::vector<Endless> endlessMessages(const std::string &FirstLine) {
  const std::string Chunked =
      FirstLine + "\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Piece(16UL << 10, '0');
  return {{"a field's value", FirstLine + "\r\nX-Long: ", Piece},
          {"fields", FirstLine + "\r\n", "X-More: and more\r\n"},
          {"no HTTP", "", std::string("\x01\x02 nonsense")},
          {"the extension of a chunk", Chunked + "10;a=", Piece},
          {"the size of a chunk", Chunked, Piece},
          {"trailers", Chunked + "0\r\n", "X-More: and more\r\n"},
          {"a trailer's value", Chunked + "0\r\nX-Long: ", Piece},
          {"chunks", Chunked, "4\r\nmore\r\n"}};
}

/// Writes until the other side closes or MostBytes are written.
/// \returns the number of bytes.
std::size_t writeEndlessly(tcp::socket &To, const Endless &What) {
  std::string Piece;
  while (Piece.size() < 16UL << 10)
    Piece += What.Rest_;
  boost::system::error_code Failure;
  std::size_t Total = asio::write(To, asio::buffer(What.Begin_), Failure);
  while (!Failure && Total < MostBytes)
    Total += asio::write(To, asio::buffer(Piece), Failure);
  return Total;
}

} // namespace

/// Messages without end, to the client and to the server of our own processes.
TEST_GROUP(EndlessBytes) {
  asio::io_context Loop_;
  base::Error Last_;

  asio::awaitable<bool> ask(std::uint16_t Port) {
    transport::HttpClient Client(
        Loop_.get_executor(),
        {.Address_ = "127.0.0.1", .Port_ = Port, .BodyLimitBytes_ = BodyLimit});
    bool Sent = false;
    transport::HttpRequest Asked;
    const auto Answer =
        co_await Client.exchange(std::move(Asked), 20s, "test", Sent, Last_);
    co_return Answer.has_value();
  }
};

// The client kept what came until its timeout.
TEST(EndlessBytes, aClientClosesAnAnswerWithoutEnd) {
  for (const Endless &What : endlessMessages("HTTP/1.1 200 OK")) {
    asio::io_context Other;
    tcp::acceptor Acceptor(Other, {asio::ip::address_v4::loopback(), 0});
    std::size_t Written = 0;
    std::jthread Answering([&] {
      tcp::socket Peer = Acceptor.accept();
      Written = writeEndlessly(Peer, What);
    });
    bool HasAnswer = true;
    asio::co_spawn(
        Loop_,
        [&]() -> asio::awaitable<void> {
          HasAnswer = co_await ask(Acceptor.local_endpoint().port());
          Loop_.stop();
        },
        [](const std::exception_ptr &) {});
    Loop_.run();
    Loop_.restart();
    Answering.join();
    CHECK_FALSE(HasAnswer);
    CHECK_TRUE_TEXT(Written < MostBytes, What.Name_);
  }
}

// The server kept what came until its timeout.
TEST(EndlessBytes, aServerClosesARequestWithoutEnd) {
  transport::HttpServer Server(
      Loop_.get_executor(),
      {.Address_ = "127.0.0.1", .Port_ = 0, .BodyLimitBytes_ = BodyLimit},
      [](const transport::HttpRequest &)
          -> asio::awaitable<transport::HttpAnswer> {
        co_return transport::HttpAnswer();
      });
  CHECK(Server.listen(Last_));
  std::vector<std::string> Kept;
  std::thread Serving(
      [this, Work = asio::make_work_guard(Loop_)] { Loop_.run(); });
  for (const Endless &What : endlessMessages("POST / HTTP/1.1")) {
    asio::io_context Other;
    tcp::socket Peer(Other);
    Peer.connect({asio::ip::address_v4::loopback(), Server.port()});
    if (writeEndlessly(Peer, What) >= MostBytes)
      Kept.emplace_back(What.Name_);
  }
  Loop_.stop();
  Serving.join();
  for (const std::string &Each : Kept)
    FAIL_TEST(Each.c_str());
}
