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

/// One host asks another for a token of a customer's rate, or answers that.
struct TokenMessage {
  /// Who asked: its start, so that an answer to an earlier start counts for
  /// nothing, and the request there.
  std::uint64_t Start_ = 0;
  std::uint64_t Ticket_ = 0;
  /// The customer in a question; empty in an answer.
  base::CustomerId Customer_;
  /// In an answer: when a token is there again; nothing: here it is.
  std::optional<base::Duration> Wait_;
};

std::string encodeTokenMessage(const TokenMessage &Said);

/// \returns nothing, and \p Last filled, where \p Text is no such message.
std::optional<TokenMessage> decodeTokenMessage(std::string_view Text,
                                               base::Error &Last);

} // namespace lychee::members

#endif
