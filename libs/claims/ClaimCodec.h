#ifndef LYCHEE_CLAIMS_CLAIMCODEC_H
#define LYCHEE_CLAIMS_CLAIMCODEC_H

#include "retrying/ClaimTable.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::claims {

/// JSON encoding of claims: of a partition's object in the store, and of the
/// messages between hosts. Decoding incomplete or malformed text fails, because
/// a partial object would allow the claims missing in it to run again.
class ClaimCodec {
public:
  ClaimCodec() = delete;

  /// The object's version is not encoded: the store keeps it beside the value.
  static std::string encode(const retrying::ClaimObject &Object);
  static std::optional<retrying::ClaimObject>
  decodeObject(std::string_view Text, std::uint64_t Version);

  static Json::Value toJson(const retrying::ClaimResult &Result);
  static std::optional<retrying::ClaimResult>
  toResult(const Json::Value &Source);

  static std::string toText(const retrying::ClaimKey &Key);
  static std::optional<retrying::ClaimKey> toKey(std::string_view Text);
};

} // namespace lychee::claims

#endif
