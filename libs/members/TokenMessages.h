#ifndef LYCHEE_MEMBERS_TOKENMESSAGES_H
#define LYCHEE_MEMBERS_TOKENMESSAGES_H

#include "base/Error.h"
#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::members {

/// A request to another host for a token of a customer's rate, or the answer to
/// one.
struct TokenMessage {
  /// Incarnation of the requesting host, so that answers to an earlier one are
  /// ignored; Ticket_ identifies the request there.
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Ticket_ = 0;
  /// The customer in a request; empty in an answer.
  base::CustomerId Customer_;
  /// In an answer: time until a token is available; nothing: a token was
  /// granted.
  std::optional<base::Duration> Wait_;
};

std::string encodeTokenMessage(const TokenMessage &Message);

/// \returns nothing and fills \p Last if \p Text is not a token message.
std::optional<TokenMessage> decodeTokenMessage(std::string_view Text,
                                               base::Error &Last);

} // namespace lychee::members

#endif
