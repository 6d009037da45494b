#ifndef LYCHEE_MEMBERS_DATAGRAMSOCKET_H
#define LYCHEE_MEMBERS_DATAGRAMSOCKET_H

#include "base/Error.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace lychee::members {

/// Opens \p Socket at \p Listen, non-blocking. \returns false, and \p Last
/// filled with \p Step, where the address cannot be had.
bool openDatagramSocket(boost::asio::ip::udp::socket &Socket,
                        const settings::Endpoint &Listen, const char *Step,
                        base::Error &Last);

/// Sends \p Text to a host. A datagram that does not go out is one that was
/// lost: whoever sends it sends others, or asks once more.
void sendDatagram(boost::asio::ip::udp::socket &Socket, std::string_view Text,
                  const std::string &Address, std::uint16_t Port);

/// Hands each datagram that comes to \p Take, until the executor ends.
/// \param Buffer,Take  outlive this.
boost::asio::awaitable<void> receiveDatagrams(
    boost::asio::ip::udp::socket &Socket, std::span<char> Buffer,
    const std::function<void(std::string_view,
                             const boost::asio::ip::udp::endpoint &)> &Take);

} // namespace lychee::members

#endif
