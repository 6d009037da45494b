#ifndef LYCHEE_FLEET_CODEC_H
#define LYCHEE_FLEET_CODEC_H

#include "base/Error.h"
#include "fleet/Directory.h"
#include "fleet/Member.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::fleet {

/// Converts fleet records to and from the JSON that hosts store and send.
/// Decoding validates its input: text written by another release or damaged on
/// the way gives an error, never a partially filled object.
class Codec {
public:
  Codec() = delete;

  static Json::Value toJson(const Member &From);
  static Json::Value toJson(const ZoneRecord &From);
  static Json::Value toJson(const Directory &From);

  static std::optional<Member> toMember(const Json::Value &From);
  static std::optional<ZoneRecord> toZoneRecord(const Json::Value &From);
  static std::optional<Directory> toDirectory(const Json::Value &From);

  /// \returns \p From as JSON text without whitespace.
  static std::string write(const Json::Value &From);

  /// \returns the JSON object in \p Text; nothing if \p Text is not a JSON
  /// object.
  static std::optional<Json::Value> parse(std::string_view Text);
};

} // namespace lychee::fleet

#endif
