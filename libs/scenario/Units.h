#ifndef LYCHEE_SCENARIO_UNITS_H
#define LYCHEE_SCENARIO_UNITS_H

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lychee::scenario {

/// Numbers with units as they stand in scenarios. Each returns nothing where
/// the text is not wholly of its form.

/// "12", "0.5"; not negative.
std::optional<double> parseNumber(std::string_view Text);

/// "250us", "20ms", "1.5s", "2min".
std::optional<base::Duration> parseDuration(std::string_view Text);

/// "5%" as 0.05, or a plain number.
std::optional<double> parseShare(std::string_view Text);

/// "200B", "20kB", "5MB".
std::optional<std::uint64_t> parseBytes(std::string_view Text);

/// "100Mbit", "4Gbit", a second.
std::optional<std::uint64_t> parseBitRate(std::string_view Text);

} // namespace lychee::scenario

#endif
