#include "retrying/RetryVerdict.h"

#include <array>
#include <string>

#include "CppUTest/TestHarness.h"

using lychee::retrying::judgeSend;
using lychee::retrying::nameOf;
using lychee::retrying::Ran;
using lychee::retrying::Resend;
using lychee::retrying::SendEnd;
using lychee::retrying::SendEndCount;
using lychee::retrying::SendFacts;
using lychee::retrying::SendVerdict;

namespace {

/// One row of the truth table, for both kinds of requests.
struct Row {
  SendEnd End_;
  Ran Ran_;
  Resend Idempotent_;
  Resend NotIdempotent_;
};

constexpr std::array<Row, SendEndCount> Rows = {{
    {SendEnd::Answered, Ran::Yes, Resend::NotNeeded, Resend::NotNeeded},
    {SendEnd::Shed, Ran::No, Resend::Allowed, Resend::Allowed},
    {SendEnd::ConnectFailed, Ran::No, Resend::Allowed, Resend::Allowed},
    {SendEnd::ClosedBeforeWrite, Ran::No, Resend::Allowed, Resend::Allowed},
    {SendEnd::LostAfterPartialWrite, Ran::Maybe, Resend::AllowedAsIdempotent,
     Resend::ForbiddenMayHaveRun},
    {SendEnd::LostBeforeResponse, Ran::Maybe, Resend::AllowedAsIdempotent,
     Resend::ForbiddenMayHaveRun},
    {SendEnd::ResponseTruncated, Ran::Maybe, Resend::AllowedAsIdempotent,
     Resend::ForbiddenMayHaveRun},
    {SendEnd::ResponseInvalid, Ran::Maybe, Resend::AllowedAsIdempotent,
     Resend::ForbiddenMayHaveRun},
    {SendEnd::CancelledBeforeWrite, Ran::No, Resend::ForbiddenCancelled,
     Resend::ForbiddenCancelled},
    {SendEnd::Cancelled, Ran::Maybe, Resend::ForbiddenCancelled,
     Resend::ForbiddenCancelled},
}};

void checkVerdict(const SendFacts &Facts, const SendVerdict &Expected) {
  const SendVerdict Found = judgeSend(Facts);
  const std::string Row = std::string(nameOf(Facts.End_)) +
                          (Facts.Idempotent_ ? " idempotent" : "") +
                          (Facts.AnswerStarted_ ? " started" : "");
  CHECK_TEXT(Found.Ran_ == Expected.Ran_, Row.c_str());
  STRCMP_EQUAL_TEXT(std::string(nameOf(Expected.Retry_)).c_str(),
                    std::string(nameOf(Found.Retry_)).c_str(), Row.c_str());
}

} // namespace

TEST_GROUP(SendVerdict){};

TEST(SendVerdict, everyEndOfASendWithoutAnswerBytes) {
  for (std::uint8_t Index = 0; Index < SendEndCount; ++Index) {
    const Row &Each = Rows[Index];
    CHECK(static_cast<SendEnd>(Index) == Each.End_);
    checkVerdict({Each.End_, true, false}, {Each.Ran_, Each.Idempotent_});
    checkVerdict({Each.End_, false, false}, {Each.Ran_, Each.NotIdempotent_});
  }
}

// The first bytes of an answer have gone to the caller when the send ends.
// A second send would put a second answer behind the first part of the first.
// So none is made, for idempotent requests either, and "not run" is never said.
TEST(SendVerdict, nothingIsSentAgainOnceTheAnswerHasStarted) {
  for (const Row &Each : Rows)
    for (const bool Idempotent : {true, false}) {
      const SendVerdict Found = judgeSend({Each.End_, Idempotent, true});
      CHECK_FALSE(Found.mayRetry());
      CHECK(Found.Ran_ != Ran::No);
    }
}

TEST(SendVerdict, aRequestThatMayHaveRunIsSentAgainOnlyIfIdempotent) {
  for (const Row &Each : Rows) {
    const SendVerdict Found = judgeSend({Each.End_, false, false});
    CHECK(!Found.mayRetry() || Found.Ran_ == Ran::No);
  }
}
