#ifndef LYCHEE_SETTINGS_VALUES_H
#define LYCHEE_SETTINGS_VALUES_H

#include "base/Time.h"
#include "settings/DaemonSettings.h"
#include "settings/Intent.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// Parse functions for single values. Each returns nothing where any byte of
/// the text does not belong to the value, or the value does not fit its type.

/// A decimal number without sign.
std::optional<std::uint64_t> parseCount(std::string_view Text) noexcept;

/// A finite decimal number of at least 0, such as "0.25".
std::optional<double> parseNumber(std::string_view Text) noexcept;

/// A whole number and a unit: us, ms, s, m, h; such as "250ms".
std::optional<base::Duration> parseDuration(std::string_view Text) noexcept;

/// A whole number and a unit: B, KiB, MiB, GiB; such as "16KiB".
std::optional<std::uint64_t> parseSize(std::string_view Text) noexcept;

/// A whole number and a unit: kbit/s, Mbit/s, Gbit/s; such as "4Gbit/s".
std::optional<std::uint64_t> parseBitRate(std::string_view Text) noexcept;

/// "yes" or "no".
std::optional<bool> parseYesNo(std::string_view Text) noexcept;

/// A time of day in UTC, such as "2026-12-03T08:00:00Z".
std::optional<base::WallPoint> parseWallTime(std::string_view Text) noexcept;

/// \returns the text that parseWallTime reads, in whole seconds.
std::string formatWallTime(base::WallPoint Time);

/// An IPv4 address in host byte order.
std::optional<std::uint32_t> parseAddress(std::string_view Text) noexcept;

/// IP:PORT, port 0 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// NETWORK/LENGTH without bits below the length; the site is left open.
std::optional<ClientBlock> parseNetwork(std::string_view Text) noexcept;

/// \returns whether \p Text may name a thing: 1 to 40 lower-case letters,
/// digits and inner hyphens. No dot, as a dot ends the id in a caller's key.
bool isName(std::string_view Text) noexcept;

/// \returns whether \p Text is lower-case hexadecimal.
bool isHexadecimal(std::string_view Text) noexcept;

/// \returns the words of \p Text, cut at blanks.
std::vector<std::string_view> splitWords(std::string_view Text);

} // namespace lychee::settings

#endif
