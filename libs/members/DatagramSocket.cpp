#include "members/DatagramSocket.h"

#include "reporting/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Pause after a failed receive, so that a socket that fails repeatedly does
/// not spin.
constexpr std::chrono::milliseconds FailurePause(50);

} // namespace

bool openDatagramSocket(udp::socket &Socket, const settings::Endpoint &Listen,
                        const char *Step, base::Error &Last) {
  boost::system::error_code Failure;
  const auto Address = boost::asio::ip::make_address(Listen.Address_, Failure);
  if (!Failure)
    Socket.open(udp::v4(), Failure);
  if (!Failure)
    Socket.bind(udp::endpoint(Address, Listen.Port_), Failure);
  if (!Failure)
    Socket.non_blocking(true, Failure);
  if (!Failure)
    return true;
  Last = {Step, Listen.text(), Failure.message()};
  return false;
}

void sendDatagram(udp::socket &Socket, std::string_view Text,
                  const std::string &Address, std::uint16_t Port) {
  boost::system::error_code Ignored;
  const auto Receiver = asio::ip::make_address(Address, Ignored);
  if (!Ignored)
    Socket.send_to(asio::buffer(Text), udp::endpoint(Receiver, Port), 0,
                   Ignored);
}

asio::awaitable<void> receiveDatagrams(
    udp::socket &Socket, std::span<char> Buffer,
    const std::function<void(std::string_view, const udp::endpoint &)>
        &OnDatagram) {
  asio::steady_timer Pause(Socket.get_executor());
  while (true) {
    udp::endpoint Sender;
    const auto [Failure, Count] = co_await Socket.async_receive_from(
        asio::buffer(Buffer.data(), Buffer.size()), Sender, AsTuple);
    if (Failure) {
      Pause.expires_after(FailurePause);
      co_await Pause.async_wait(AsTuple);
      continue;
    }
    // No datagram ends the loop, whoever sent it.
    try {
      OnDatagram({Buffer.data(), Count}, Sender);
    } catch (...) {
      reporting::logThrown("datagram-failed", std::current_exception());
    }
  }
}

} // namespace lychee::members
