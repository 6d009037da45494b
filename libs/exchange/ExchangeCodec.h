#ifndef LYCHEE_EXCHANGE_EXCHANGECODEC_H
#define LYCHEE_EXCHANGE_EXCHANGECODEC_H

#include "budget/Transfer.h"
#include "exchange/HostReport.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::exchange {

/// Converts the messages about shares to and from JSON. Member names are one or
/// two letters, as reports are the most frequent message of the fleet and
/// control traffic is bounded. Decoding returns nothing for an incomplete text.
class ExchangeCodec {
public:
  ExchangeCodec() = delete;

  static std::string encode(const HostReport &From);
  static std::optional<HostReport> decodeReport(std::string_view Text);

  static std::string encode(const steering::SlotRequest &From);
  static std::optional<steering::SlotRequest>
  decodeSlotRequest(std::string_view Text);

  static std::string encode(const steering::SlotGrant &From);
  static std::optional<steering::SlotGrant>
  decodeSlotGrant(std::string_view Text);

  static std::string encode(const budget::ShareRequest &From);
  static std::optional<budget::ShareRequest>
  decodeShareRequest(std::string_view Text);

  static std::string encode(const budget::Transfer &From);
  static std::optional<budget::Transfer> decodeTransfer(std::string_view Text);
};

} // namespace lychee::exchange

#endif
