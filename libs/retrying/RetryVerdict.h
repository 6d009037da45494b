#ifndef LYCHEE_RETRYING_RETRYVERDICT_H
#define LYCHEE_RETRYING_RETRYVERDICT_H

#include <cstdint>
#include <string_view>

namespace lychee::retrying {

/// How a send to a target ended.
enum class SendOutcome : std::uint8_t {
  Answered,
  /// The target reported that it did not run the request (503 with its
  /// marker).
  Shed,
  ConnectFailed,
  /// The connection closed before any byte of the request was written.
  ClosedBeforeWrite,
  /// The target asked for a rest, or left, before any byte of the request was
  /// written.
  Withheld,
  /// The connection closed or timed out after part of the request was written.
  LostAfterPartialWrite,
  /// The connection closed or timed out after the whole request was written
  /// and before any byte of the response.
  LostBeforeResponse,
  /// The response ended before its declared length.
  ResponseTruncated,
  /// The response cannot belong to this request: it is malformed, or was sent
  /// before the request.
  ResponseInvalid,
  /// The caller disconnected, or its deadline passed, before any byte of the
  /// request was written.
  CancelledBeforeWrite,
  /// The caller disconnected, or its deadline passed, after bytes of the
  /// request were written.
  Cancelled,
};

/// Number of values of SendOutcome, for tables and tests.
inline constexpr std::uint8_t SendOutcomeCount = 11;

/// Whether a request ran at the target it was sent to.
enum class Ran : std::uint8_t { No, Maybe, Yes };

/// Whether a request may be sent again, and why.
enum class RetryRule : std::uint8_t {
  /// The send succeeded.
  NotNeeded,
  /// The request provably did not run: any request may be sent again.
  Allowed,
  /// The request may have run, but is idempotent: running it twice is safe.
  AllowedAsIdempotent,
  /// The request may have run and is not idempotent.
  ForbiddenMayHaveRun,
  /// Bytes of the response were already forwarded to the caller, so that a
  /// second response cannot follow.
  ForbiddenAnswerStarted,
  /// Part of the request's body is no longer held.
  ForbiddenBodyGone,
  /// The caller no longer waits for the response.
  ForbiddenCancelled,
};

/// What is known about a send when it has ended.
struct SendFacts {
  SendOutcome Outcome_ = SendOutcome::Answered;
  bool Idempotent_ = false;
  /// True if bytes of the response were already forwarded to the caller.
  bool AnswerStarted_ = false;
  /// True if part of the request's body was sent and is no longer held.
  bool BodyGone_ = false;
};

/// Whether a request ran and whether it may be sent again.
struct RetryVerdict {
  Ran Ran_ = Ran::Maybe;
  RetryRule Retry_ = RetryRule::ForbiddenMayHaveRun;

  /// \returns true if the rules allow another send. The send also needs a token
  /// of the RetryBudget, time before its deadline, and another target.
  constexpr bool mayRetry() const noexcept {
    return Retry_ == RetryRule::Allowed ||
           Retry_ == RetryRule::AllowedAsIdempotent;
  }

  bool operator==(const RetryVerdict &) const = default;
};

/// Decides whether a request ran and whether it may be sent again. A pure
/// function, so that its truth table can be tested row by row.
///
/// A failed connection does not prove that the request did not run. Treating
/// it as proof would make refusals that say "not run" false and could run a
/// booking twice. Only three facts are proof: no connection was made, no byte
/// was written, or the target reported that it did not run the request. A
/// partly written request may have run, because a target may act on the headers
/// or on the first part of a body.
///
/// Thread-safe: no state.
RetryVerdict evaluateRetry(const SendFacts &Facts) noexcept;

/// \returns the name used in log lines.
std::string_view nameOf(SendOutcome Outcome) noexcept;
std::string_view nameOf(RetryRule Rule) noexcept;

} // namespace lychee::retrying

#endif
