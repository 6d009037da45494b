#ifndef LYCHEE_FLEET_CLAIMCODEC_H
#define LYCHEE_FLEET_CLAIMCODEC_H

#include "retrying/Claim.h"

#include <optional>
#include <string>
#include <string_view>

namespace lychee::fleet {

/// The text of one partition's claims in the store: about 100 bytes a claim.
class ClaimCodec {
public:
  ClaimCodec() = delete;

  static std::string encode(const retrying::ClaimObject &From);

  /// \param Version  the store's, which the text does not hold.
  /// \returns nothing where \p Text is not such a text; claims half read would
  /// let a request run twice.
  static std::optional<retrying::ClaimObject> decode(std::string_view Text,
                                                     std::uint64_t Version);
};

} // namespace lychee::fleet

#endif
