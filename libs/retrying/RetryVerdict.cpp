#include "retrying/RetryVerdict.h"

#include <array>

namespace lychee::retrying {

namespace {

struct EndRow {
  std::string_view Name_;
  Ran Ran_;
  bool Cancelled_;
};

/// In the order of SendOutcome.
constexpr std::array<EndRow, SendEndCount> EndRows = {{
    {"answered", Ran::Yes, false},
    {"shed", Ran::No, false},
    {"connect-failed", Ran::No, false},
    {"closed-unwritten", Ran::No, false},
    {"lost-partly-written", Ran::Maybe, false},
    {"lost-unanswered", Ran::Maybe, false},
    {"answer-cut", Ran::Maybe, false},
    {"answer-unusable", Ran::Maybe, false},
    {"cancelled-unwritten", Ran::No, true},
    {"cancelled", Ran::Maybe, true},
}};

const EndRow &rowOf(SendOutcome End) noexcept {
  return EndRows[static_cast<std::size_t>(End)];
}

RetryRule resendRule(const EndRow &Row, const SendFacts &Facts) noexcept {
  if (Row.Ran_ == Ran::Yes)
    return RetryRule::NotNeeded;
  if (Row.Cancelled_)
    return RetryRule::ForbiddenCancelled;
  if (Facts.AnswerStarted_)
    return RetryRule::ForbiddenAnswerStarted;
  if (Row.Ran_ == Ran::No)
    return RetryRule::Allowed;
  return Facts.Idempotent_ ? RetryRule::AllowedAsIdempotent
                           : RetryRule::ForbiddenMayHaveRun;
}

} // namespace

RetryVerdict evaluateRetry(const SendFacts &Facts) noexcept {
  const EndRow &Row = rowOf(Facts.End_);
  RetryVerdict Verdict;
  // Bytes of an answer prove that the target began to work, whatever the
  // connection did afterwards.
  Verdict.Ran_ =
      Facts.AnswerStarted_ && Row.Ran_ == Ran::No ? Ran::Maybe : Row.Ran_;
  Verdict.Retry_ = resendRule(Row, Facts);
  return Verdict;
}

std::string_view nameOf(SendOutcome End) noexcept { return rowOf(End).Name_; }

std::string_view nameOf(RetryRule Rule) noexcept {
  static constexpr std::array<std::string_view, 6> Names = {
      "not-needed",   "not-run",        "idempotent",
      "may-have-run", "answer-started", "cancelled",
  };
  return Names[static_cast<std::size_t>(Rule)];
}

} // namespace lychee::retrying
