#include "retrying/RetryVerdict.h"

#include <array>

namespace lychee::retrying {

namespace {

struct OutcomeRow {
  std::string_view Name_;
  Ran Ran_;
  bool Cancelled_;
};

/// Indexed by SendOutcome.
constexpr std::array<OutcomeRow, SendOutcomeCount> OutcomeRows = {{
    {"answered", Ran::Yes, false},
    {"shed", Ran::No, false},
    {"connect-failed", Ran::No, false},
    {"closed-unwritten", Ran::No, false},
    {"withheld", Ran::No, false},
    {"lost-partly-written", Ran::Maybe, false},
    {"lost-unanswered", Ran::Maybe, false},
    {"answer-cut", Ran::Maybe, false},
    {"answer-unusable", Ran::Maybe, false},
    {"cancelled-unwritten", Ran::No, true},
    {"cancelled", Ran::Maybe, true},
}};

const OutcomeRow &rowOf(SendOutcome Outcome) noexcept {
  return OutcomeRows[static_cast<std::size_t>(Outcome)];
}

RetryRule retryRule(const OutcomeRow &Row, const SendFacts &Facts) noexcept {
  if (Row.Ran_ == Ran::Yes)
    return RetryRule::NotNeeded;
  if (Row.Cancelled_)
    return RetryRule::ForbiddenCancelled;
  if (Facts.AnswerStarted_)
    return RetryRule::ForbiddenAnswerStarted;
  if (Facts.BodyGone_)
    return RetryRule::ForbiddenBodyGone;
  if (Row.Ran_ == Ran::No)
    return RetryRule::Allowed;
  return Facts.Idempotent_ ? RetryRule::AllowedAsIdempotent
                           : RetryRule::ForbiddenMayHaveRun;
}

} // namespace

RetryVerdict evaluateRetry(const SendFacts &Facts) noexcept {
  const OutcomeRow &Row = rowOf(Facts.Outcome_);
  RetryVerdict Verdict;
  // Bytes of a response show that the target may have run the request, whatever
  // happened to the connection afterwards.
  Verdict.Ran_ =
      Facts.AnswerStarted_ && Row.Ran_ == Ran::No ? Ran::Maybe : Row.Ran_;
  Verdict.Retry_ = retryRule(Row, Facts);
  return Verdict;
}

std::string_view nameOf(SendOutcome Outcome) noexcept {
  return rowOf(Outcome).Name_;
}

std::string_view nameOf(RetryRule Rule) noexcept {
  static constexpr std::array<std::string_view, 7> Names = {
      "not-needed",     "not-run",   "idempotent", "may-have-run",
      "answer-started", "body-gone", "cancelled",
  };
  return Names[static_cast<std::size_t>(Rule)];
}

} // namespace lychee::retrying
