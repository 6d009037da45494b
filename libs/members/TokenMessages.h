#ifndef LYCHEE_MEMBERS_TOKENMESSAGES_H
#define LYCHEE_MEMBERS_TOKENMESSAGES_H

#include "base/Error.h"
#include "base/Id.h"
#include "base/Time.h"
#include "members/Heartbeat.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::members {

/// What the owner of a customer's tokens needs to know of a request to tell its
/// caller when to retry. \see admission::ReturnSchedule
struct ReturnTerms {
  /// The caller was refused before and waited.
  bool IsRetry_ = false;
  /// Latest times, from now on, at which a retry can be answered within its
  /// objective, and at all.
  base::Duration InTime_{};
  base::Duration Latest_{};
};

/// The rate of which a token is requested: a customer's, or the one that a
/// target states.
struct TokenRequest {
  /// Empty: Target_ says which.
  base::CustomerId Customer_;
  /// The target, and what the requesting host knows of its rate.
  std::optional<TargetRate> Target_ = std::nullopt;
  /// Where retries are paced, and the token is a customer's.
  std::optional<ReturnTerms> Return_ = std::nullopt;

  bool empty() const noexcept { return Customer_.empty() && !Target_; }
};

/// A request to another host for a token of a shared rate, the answer to one,
/// or a token that was not needed.
struct TokenMessage {
  /// Incarnation of the requesting host, so that answers to an earlier one are
  /// ignored; Ticket_ identifies the request there.
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Ticket_ = 0;
  /// Empty in all but a request.
  TokenRequest Wanted_;
  /// In an answer: time until a token is available; nothing: a token was
  /// granted; zero: none is available before the time of ReturnTerms is over.
  std::optional<base::Duration> Wait_;
  /// The customer whose token goes back; nothing: none does.
  std::optional<base::CustomerId> Refunded_ = std::nullopt;
};

std::string encodeTokenMessage(const TokenMessage &Message);

/// \returns nothing and fills \p Last if \p Text is not a token message.
std::optional<TokenMessage> decodeTokenMessage(std::string_view Text,
                                               base::Error &Last);

} // namespace lychee::members

#endif
