#ifndef LYCHEE_CLAIMS_CLAIMCODEC_H
#define LYCHEE_CLAIMS_CLAIMCODEC_H

#include "retrying/ClaimTable.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::claims {

/// JSON of claims: of one partition's object in the store, and of what hosts
/// tell each other. A text that is not whole gives nothing: half an object
/// would let claims that it lacks run again.
class ClaimCodec {
public:
  ClaimCodec() = delete;

  /// The version is the store's and stands beside the value.
  static std::string encode(const retrying::ClaimObject &From);
  static std::optional<retrying::ClaimObject>
  decodeObject(std::string_view Text, std::uint64_t Version);

  static Json::Value toJson(const retrying::ClaimResult &From);
  static std::optional<retrying::ClaimResult>
  toVerdict(const Json::Value &From);

  static std::string toText(const retrying::ClaimKey &Key);
  static std::optional<retrying::ClaimKey> toKey(std::string_view Text);
};

} // namespace lychee::claims

#endif
