#ifndef LYCHEE_GATEWAY_LOOKUP_H
#define LYCHEE_GATEWAY_LOOKUP_H

#include "gateway/HostDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace lychee::gateway {

/// Path under which callers ask which hosts to use.
inline constexpr std::string_view LookupPath = "/.well-known/lychee/hosts";
/// Path that answers 200 while this host takes new callers, 503 once it stops.
inline constexpr std::string_view ReadyPath = "/.well-known/lychee/ready";

/// \returns the service named by a look-up's query "service=NAME"; nothing
/// where it names none. Names hold no characters that need escapes in a URL.
std::optional<std::string_view> serviceOfQuery(std::string_view Query) noexcept;

/// \returns the JSON of a look-up's answer: "hosts" nearest first,
/// "ttlSeconds", "settingsVersion".
std::string renderLookup(std::string_view Service, const HostAnswer &Found);

} // namespace lychee::gateway

#endif
