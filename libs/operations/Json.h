#ifndef LYCHEE_OPERATIONS_JSON_H
#define LYCHEE_OPERATIONS_JSON_H

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::operations {

/// JsonCpp without its exceptions: it throws where a member has another type
/// than was asked for, and a call from outside may hold anything.

/// \returns nothing where \p Text is not one strict JSON value.
std::optional<Json::Value> readJson(std::string_view Text);

/// \returns the value on one line.
std::string writeJson(const Json::Value &Value);

/// \returns a member's text; empty where it is absent or no text.
std::string textOf(const Json::Value &From, const char *Name);

/// \returns a member's number; 0 where it is absent or no such number.
std::uint64_t numberOf(const Json::Value &From, const char *Name);

/// \returns a member's truth; false where it is absent or neither.
bool flagOf(const Json::Value &From, const char *Name);

/// \returns the texts of an array; what is no text is left out.
std::vector<std::string> textsOf(const Json::Value &From, const char *Name);

Json::Value toJson(const std::vector<std::string> &Texts);

} // namespace lychee::operations

#endif
