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

/// JSON of what hosts store and send. Decoding takes nothing for granted: text
/// that another release or a fault wrote gives an error, never a half object.
class Codec {
public:
  Codec() = delete;

  static Json::Value toJson(const Member &From);
  static Json::Value toJson(const ZoneRecord &From);
  static Json::Value toJson(const Directory &From);

  static std::optional<Member> toMember(const Json::Value &From);
  static std::optional<ZoneRecord> toZoneRecord(const Json::Value &From);
  static std::optional<Directory> toDirectory(const Json::Value &From);

  /// \returns compact text.
  static std::string write(const Json::Value &From);

  /// \returns the object in \p Text, or nothing where it is not one.
  static std::optional<Json::Value> parse(std::string_view Text);
};

} // namespace lychee::fleet

#endif
