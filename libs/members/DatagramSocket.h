#ifndef LYCHEE_MEMBERS_DATAGRAMSOCKET_H
#define LYCHEE_MEMBERS_DATAGRAMSOCKET_H

#include "base/Error.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/ip/udp.hpp>

namespace lychee::members {

/// Opens \p Socket at \p Listen, non-blocking. \returns false, and \p Last
/// filled with \p Step, where the address cannot be had.
bool openDatagramSocket(boost::asio::ip::udp::socket &Socket,
                        const settings::Endpoint &Listen, const char *Step,
                        base::Error &Last);

} // namespace lychee::members

#endif
