#ifndef LYCHEE_BASE_JSONTEXT_H
#define LYCHEE_BASE_JSONTEXT_H

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::base {

/// Depth of nesting that a host reads in what others send. A message that tells
/// on what was read nests it deeper; readers of messages use MaxMessageDepth.
inline constexpr int MaxJsonDepth = 100;
inline constexpr int MaxMessageDepth = 200;

/// Parses a text that may come from anybody; never throws. A text that is
/// parsed can be written and parsed again: its nesting is within \p MaxDepth,
/// and its strings are UTF-8 without halves of surrogate pairs.
/// \param Why  becomes the reason where nothing is returned.
std::optional<Json::Value> parseJson(std::string_view Text, std::string &Why,
                                     int MaxDepth = MaxMessageDepth);

/// The same for a text that must be an object.
std::optional<Json::Value> parseJsonObject(std::string_view Text,
                                           std::string &Why,
                                           int MaxDepth = MaxMessageDepth);

/// \returns whether \p Text is UTF-8 (RFC 3629).
bool isUtf8(std::string_view Text) noexcept;

} // namespace lychee::base

#endif
