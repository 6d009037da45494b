#ifndef LYCHEE_GATEWAY_TARGETADDRESS_H
#define LYCHEE_GATEWAY_TARGETADDRESS_H

#include "gateway/AsioTypes.h"

#include <optional>
#include <string_view>

namespace lychee::gateway {

/// \returns the endpoint of "IP:PORT"; nothing where it is not one.
std::optional<Tcp::endpoint> parseTargetAddress(std::string_view Address);

} // namespace lychee::gateway

#endif
