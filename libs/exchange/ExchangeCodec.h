#ifndef LYCHEE_EXCHANGE_EXCHANGECODEC_H
#define LYCHEE_EXCHANGE_EXCHANGECODEC_H

#include "budget/Transfer.h"
#include "exchange/HostReport.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::exchange {

/// JSON of what hosts send each other about shares. Member names are one or
/// two letters: reports are the most frequent message of the fleet, and bytes
/// of control are bounded. A text that is not whole gives nothing.
class ExchangeCodec {
public:
  ExchangeCodec() = delete;

  static std::string encode(const HostReport &From);
  static std::optional<HostReport> decodeReport(std::string_view Text);

  static std::string encode(const steering::SlotRequest &From);
  static std::optional<steering::SlotRequest>
  decodeSlotAsk(std::string_view Text);

  static std::string encode(const steering::SlotGrant &From);
  static std::optional<steering::SlotGrant>
  decodeSlotGift(std::string_view Text);

  static std::string encode(const budget::ShareRequest &From);
  static std::optional<budget::ShareRequest> decodeAsk(std::string_view Text);

  static std::string encode(const budget::Transfer &From);
  static std::optional<budget::Transfer> decodeTransfer(std::string_view Text);
};

} // namespace lychee::exchange

#endif
