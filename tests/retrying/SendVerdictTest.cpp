#include "retrying/RetryVerdict.h"

#include <array>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::retrying::evaluateRetry;
using lychee::retrying::nameOf;
using lychee::retrying::Ran;
using lychee::retrying::RetryRule;
using lychee::retrying::RetryVerdict;
using lychee::retrying::SendEndCount;
using lychee::retrying::SendFacts;
using lychee::retrying::SendOutcome;

namespace {

/// One row of the truth table, for both kinds of requests.
struct Row {
  SendOutcome End_;
  Ran Ran_;
  RetryRule Idempotent_;
  RetryRule NotIdempotent_;
};

constexpr std::array<Row, SendEndCount> Rows = {{
    {SendOutcome::Answered, Ran::Yes, RetryRule::NotNeeded,
     RetryRule::NotNeeded},
    {SendOutcome::Shed, Ran::No, RetryRule::Allowed, RetryRule::Allowed},
    {SendOutcome::ConnectFailed, Ran::No, RetryRule::Allowed,
     RetryRule::Allowed},
    {SendOutcome::ClosedBeforeWrite, Ran::No, RetryRule::Allowed,
     RetryRule::Allowed},
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
  const std::string Row = std::string(nameOf(Facts.End_)) +
                          (Facts.Idempotent_ ? " idempotent" : "") +
                          (Facts.AnswerStarted_ ? " started" : "");
  CHECK_TEXT(Found.Ran_ == Expected.Ran_, Row.c_str());
  STRCMP_EQUAL_TEXT(std::string(nameOf(Expected.Retry_)).c_str(),
                    std::string(nameOf(Found.Retry_)).c_str(), Row.c_str());
}

} // namespace

TEST_GROUP(RetryVerdict){};

TEST(RetryVerdict, everyEndOfASendWithoutAnswerBytes) {
  for (std::uint8_t Index = 0; Index < SendEndCount; ++Index) {
    const Row &Each = Rows[Index];
    CHECK(static_cast<SendOutcome>(Index) == Each.End_);
    checkVerdict({Each.End_, true, false}, {Each.Ran_, Each.Idempotent_});
    checkVerdict({Each.End_, false, false}, {Each.Ran_, Each.NotIdempotent_});
  }
}

// The first bytes of an answer have gone to the caller when the send ends.
// A second send would put a second answer behind the first part of the first.
// So none is made, for idempotent requests either, and "not run" is never said.
TEST(RetryVerdict, nothingIsSentAgainOnceTheAnswerHasStarted) {
  for (const Row &Each : Rows)
    for (const bool Idempotent : {true, false}) {
      const RetryVerdict Found = evaluateRetry({Each.End_, Idempotent, true});
      CHECK_FALSE(Found.mayRetry());
      CHECK(Found.Ran_ != Ran::No);
    }
}

TEST(RetryVerdict, aRequestThatMayHaveRunIsSentAgainOnlyIfIdempotent) {
  for (const Row &Each : Rows) {
    const RetryVerdict Found = evaluateRetry({Each.End_, false, false});
    CHECK(!Found.mayRetry() || Found.Ran_ == Ran::No);
  }
}
