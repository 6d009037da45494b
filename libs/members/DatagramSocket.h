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

/// Opens \p Socket as a non-blocking UDP socket bound to \p Listen.
/// \returns false and fills \p Last, with \p Step as its step, if the address
/// cannot be bound.
bool openDatagramSocket(boost::asio::ip::udp::socket &Socket,
                        const settings::Endpoint &Listen, const char *Step,
                        base::Error &Last);

/// Sends \p Text to a host. Errors are ignored: a datagram that cannot be sent
/// counts as lost, and callers either send periodically or retry.
void sendDatagram(boost::asio::ip::udp::socket &Socket, std::string_view Text,
                  const std::string &Address, std::uint16_t Port);

/// Passes each received datagram to \p OnDatagram until the executor ends.
/// \param Buffer,OnDatagram must outlive the coroutine.
boost::asio::awaitable<void> receiveDatagrams(
    boost::asio::ip::udp::socket &Socket, std::span<char> Buffer,
    const std::function<void(
        std::string_view, const boost::asio::ip::udp::endpoint &)> &OnDatagram);

} // namespace lychee::members

#endif
