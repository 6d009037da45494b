#include "members/DatagramSocket.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <stdexcept>
#include <string>

#include "CppUTest/TestHarness.h"

namespace asio = boost::asio;
namespace base = lychee::base;
namespace members = lychee::members;
namespace settings = lychee::settings;
using asio::ip::udp;

TEST_GROUP(DatagramSocket){};

// One datagram ended the receiving loop until the host was restarted.
TEST(DatagramSocket, aDatagramThatFailsIsFollowedByTheNext) {
  asio::io_context Loop;
  udp::socket Receiver(Loop);
  base::Error Last;
  settings::Endpoint Here;
  Here.Address_ = "127.0.0.1";
  Here.Port_ = 0;
  CHECK(members::openDatagramSocket(Receiver, Here, "test", Last));
  std::array<char, 64> Buffer{};
  std::string Heard;
  const std::function<void(std::string_view, const udp::endpoint &)> Take =
      [&](std::string_view Text, const udp::endpoint &) {
        if (Text == "bad")
          throw std::runtime_error("a datagram's failure");
        Heard = Text;
        Loop.stop();
      };
  asio::co_spawn(Loop, members::receiveDatagrams(Receiver, Buffer, Take),
                 [&](const std::exception_ptr &) { Loop.stop(); });
  udp::socket Sender(Loop);
  Sender.open(udp::v4());
  for (const char *Text : {"bad", "bad", "good"})
    members::sendDatagram(Sender, Text, "127.0.0.1",
                          Receiver.local_endpoint().port());
  Loop.run();
  STRCMP_EQUAL("good", Heard.c_str());
}
