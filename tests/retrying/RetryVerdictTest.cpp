#include "retrying/RetryVerdict.h"

#include <array>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::retrying::evaluateRetry;
using lychee::retrying::nameOf;
using lychee::retrying::Ran;
using lychee::retrying::RetryRule;
using lychee::retrying::RetryVerdict;
using lychee::retrying::SendFacts;
using lychee::retrying::SendOutcome;
using lychee::retrying::SendOutcomeCount;

namespace {

/// One row of the truth table, for idempotent and other requests.
struct Row {
  SendOutcome Outcome_;
  Ran Ran_;
  RetryRule Idempotent_;
  RetryRule NotIdempotent_;
};

constexpr std::array<Row, SendOutcomeCount> Rows = {{
    {SendOutcome::Answered, Ran::Yes, RetryRule::NotNeeded,
     RetryRule::NotNeeded},
    {SendOutcome::Shed, Ran::No, RetryRule::Allowed, RetryRule::Allowed},
    {SendOutcome::ConnectFailed, Ran::No, RetryRule::Allowed,
     RetryRule::Allowed},
    {SendOutcome::ClosedBeforeWrite, Ran::No, RetryRule::Allowed,
     RetryRule::Allowed},
    {SendOutcome::Withheld, Ran::No, RetryRule::Allowed, RetryRule::Allowed},
    {SendOutcome::LostAfterPartialWrite, Ran::Maybe,
     RetryRule::AllowedAsIdempotent, RetryRule::ForbiddenMayHaveRun},
    {SendOutcome::LostBeforeResponse, Ran::Maybe,
     RetryRule::AllowedAsIdempotent, RetryRule::ForbiddenMayHaveRun},
    {SendOutcome::ResponseTruncated, Ran::Maybe, RetryRule::AllowedAsIdempotent,
     RetryRule::ForbiddenMayHaveRun},
    {SendOutcome::ResponseInvalid, Ran::Maybe, RetryRule::AllowedAsIdempotent,
     RetryRule::ForbiddenMayHaveRun},
    {SendOutcome::CancelledBeforeWrite, Ran::No, RetryRule::ForbiddenCancelled,
     RetryRule::ForbiddenCancelled},
    {SendOutcome::Cancelled, Ran::Maybe, RetryRule::ForbiddenCancelled,
     RetryRule::ForbiddenCancelled},
}};

void checkVerdict(const SendFacts &Facts, const RetryVerdict &Expected) {
  const RetryVerdict Found = evaluateRetry(Facts);
  const std::string Row = std::string(nameOf(Facts.Outcome_)) +
                          (Facts.Idempotent_ ? " idempotent" : "") +
                          (Facts.AnswerStarted_ ? " started" : "");
  CHECK_TEXT(Found.Ran_ == Expected.Ran_, Row.c_str());
  STRCMP_EQUAL_TEXT(std::string(nameOf(Expected.Retry_)).c_str(),
                    std::string(nameOf(Found.Retry_)).c_str(), Row.c_str());
}

} // namespace

TEST_GROUP(RetryVerdict){};

TEST(RetryVerdict, everyOutcomeWithoutResponseBytes) {
  for (std::uint8_t Index = 0; Index < SendOutcomeCount; ++Index) {
    const Row &Each = Rows[Index];
    CHECK(static_cast<SendOutcome>(Index) == Each.Outcome_);
    checkVerdict({Each.Outcome_, true, false}, {Each.Ran_, Each.Idempotent_});
    checkVerdict({Each.Outcome_, false, false},
                 {Each.Ran_, Each.NotIdempotent_});
  }
}

// The send ends after bytes of the response were forwarded to the caller. A
// retry would append a second response to the first part of the first one, so
// none is allowed, even for idempotent requests, and the request never counts
// as not run.
TEST(RetryVerdict, noRetryAfterTheResponseHasStarted) {
  for (const Row &Each : Rows)
    for (const bool Idempotent : {true, false}) {
      const RetryVerdict Found =
          evaluateRetry({Each.Outcome_, Idempotent, true});
      CHECK_FALSE(Found.mayRetry());
      CHECK(Found.Ran_ != Ran::No);
    }
}

// A second target would run the part that is left as the whole request.
TEST(RetryVerdict, noRetryOnceTheBodyIsGone) {
  for (const Row &Each : Rows)
    for (const bool Idempotent : {true, false}) {
      const RetryVerdict Found =
          evaluateRetry({Each.Outcome_, Idempotent, false, true});
      CHECK_FALSE(Found.mayRetry());
      CHECK(Found.Ran_ == Each.Ran_);
    }
}

TEST(RetryVerdict, aRequestThatMayHaveRunIsRetriedOnlyIfIdempotent) {
  for (const Row &Each : Rows) {
    const RetryVerdict Found = evaluateRetry({Each.Outcome_, false, false});
    CHECK(!Found.mayRetry() || Found.Ran_ == Ran::No);
  }
}
