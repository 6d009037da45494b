#include "members/DatagramSocket.h"

namespace lychee::members {

using boost::asio::ip::udp;

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

} // namespace lychee::members
