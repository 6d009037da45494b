#ifndef LYCHEE_BASE_HASH_H
#define LYCHEE_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace lychee::base {

/// \returns xxHash64 of \p Text: stable over hosts, builds and releases, as
/// callers keep their place in a shift by it. Not for secrets.
std::uint64_t stableHash(std::string_view Text,
                         std::uint64_t Seed = 0) noexcept;

/// \returns SHA-256 of \p Text in lower-case hexadecimal.
std::string sha256Hex(std::string_view Text);

/// Compares in a time that depends on the lengths alone, so that a caller
/// cannot find a secret byte by byte from the time to refuse.
bool equalInConstantTime(std::string_view Left,
                         std::string_view Right) noexcept;

} // namespace lychee::base

#endif
