#ifndef LYCHEE_RETRYING_RETRYVERDICT_H
#define LYCHEE_RETRYING_RETRYVERDICT_H

#include <cstdint>
#include <string_view>

namespace lychee::retrying {

/// The point at which a send to a target ended.
enum class SendOutcome : std::uint8_t {
  Answered,
  /// The target answered that it did not run the request (503 with its mark).
  Shed,
  ConnectFailed,
  /// The connection ended before one byte of the request was written.
  ClosedBeforeWrite,
  /// It ended, or went silent, after the request was written in part.
  LostAfterPartialWrite,
  /// It ended or went silent after the whole request, before any answer.
  LostBeforeResponse,
  /// The answer was cut short of its length.
  ResponseTruncated,
  /// The answer cannot be this request's: malformed, or sent before it.
  ResponseInvalid,
  /// The caller hung up, or its deadline passed, before one byte was written.
  CancelledBeforeWrite,
  /// The caller hung up, or its deadline passed, after that.
  Cancelled,
};

/// Every SendOutcome, for tables and tests.
inline constexpr std::uint8_t SendEndCount = 10;

/// Whether a request may have run at the target it was sent to.
enum class Ran : std::uint8_t { No, Maybe, Yes };

/// What the rules allow after a send.
enum class RetryRule : std::uint8_t {
  /// It ended as it should: nothing to send.
  NotNeeded,
  /// It provably did not run: any request may be sent again.
  Allowed,
  /// It may have run, but is idempotent: a second run does no harm.
  AllowedAsIdempotent,
  /// It may have run and is not idempotent.
  ForbiddenMayHaveRun,
  /// Bytes of the answer have gone to the caller: a second answer cannot
  /// follow them.
  ForbiddenAnswerStarted,
  /// No one waits for the answer any more.
  ForbiddenCancelled,
};

/// What is known of a request when its send has ended.
struct SendFacts {
  SendOutcome End_ = SendOutcome::Answered;
  bool Idempotent_ = false;
  /// True where bytes of the answer have gone to the caller already.
  bool AnswerStarted_ = false;
};

/// Whether a request has run and whether it may be sent again.
struct RetryVerdict {
  Ran Ran_ = Ran::Maybe;
  RetryRule Retry_ = RetryRule::ForbiddenMayHaveRun;

  /// \returns true where the rules allow another send. It still needs a token
  /// of the RetryBudget, time before its deadline and another target.
  constexpr bool mayRetry() const noexcept {
    return Retry_ == RetryRule::Allowed ||
           Retry_ == RetryRule::AllowedAsIdempotent;
  }

  bool operator==(const RetryVerdict &) const = default;
};

/// The truth table of sends. Pure, so that it can be tested row by row.
///
/// Without it a refusal that says "not run" could be false, and a booking
/// could run twice: both follow from taking "the connection failed" for "it
/// did not run". Only three ends prove that: no connection, no byte written,
/// and the target's own word. A request written in part counts as run, because
/// a target may act on headers or on the first part of a body.
///
/// Thread-safe: no state.
RetryVerdict evaluateRetry(const SendFacts &Facts) noexcept;

/// \returns the name that stands in log lines.
std::string_view nameOf(SendOutcome End) noexcept;
std::string_view nameOf(RetryRule Rule) noexcept;

} // namespace lychee::retrying

#endif
