#include "gateway/ProblemDocument.h"

#include "gateway/HeaderPolicy.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <json/writer.h>

namespace lychee::gateway {

namespace http = boost::beast::http;
using steering::Refusal;

namespace {

std::string_view ranText(steering::Ran Ran) noexcept {
  return Ran == steering::Ran::No ? "no" : "maybe";
}

/// Retry-After counts whole seconds (RFC 9110 10.2.3): rounded up, since a
/// caller that comes early is refused again.
std::int64_t wholeSeconds(base::Duration Span) noexcept {
  return std::chrono::ceil<std::chrono::seconds>(Span).count();
}

std::string retryAfterText(base::Duration Span, const Vocabulary &Names) {
  if (!Names.FractionalRetryAfter_)
    return std::to_string(wholeSeconds(Span));
  std::array<char, 32> Text{};
  const auto Written =
      std::to_chars(Text.data(), Text.data() + Text.size(),
                    base::toSeconds(Span), std::chars_format::fixed, 3);
  return {Text.data(), Written.ptr};
}

std::string_view detailOf(Refusal Reason) noexcept {
  switch (Reason) {
  case Refusal::UnknownKey:
    return "The key is missing or not known.";
  case Refusal::KeyWithdrawn:
    return "The key has been withdrawn.";
  case Refusal::KeysStale:
    return "This host cannot tell whether the key still holds.";
  case Refusal::UnknownService:
    return "No service takes this request.";
  case Refusal::RateLimited:
    return "The customer's rate is used up.";
  case Refusal::DeadlineTooShort:
    return "The request cannot be done within its deadline.";
  case Refusal::QueueFull:
    return "Too many requests of this customer wait.";
  case Refusal::NoHealthyTarget:
    return "No target of the service is healthy.";
  case Refusal::NoHeadroom:
    return "No region has room for the request.";
  case Refusal::OverShare:
    return "The service is full, and the customer's share of it is used up.";
  case Refusal::LessUrgent:
    return "The service is full, and more urgent requests go first.";
  case Refusal::TargetRatesUsedUp:
    return "The rates that the service's targets state are used up.";
  case Refusal::TargetsRest:
    return "The service's targets have asked for a rest.";
  case Refusal::BodyMemoryFull:
    return "This host has no memory for the request's body now.";
  case Refusal::TargetsUnreached:
    return "This host reaches none of the service's targets.";
  case Refusal::SettingsOld:
    return "This host has older settings than the request came by.";
  case Refusal::SettingsUnreadable:
    return "The operators' settings for the request cannot be read.";
  case Refusal::CrashSuspect:
    return "Targets were lost while they ran requests like this one.";
  case Refusal::ClaimHeldElsewhere:
    return "Another send of this Idempotency-Key is under way.";
  case Refusal::ClaimStoreDown:
    return "The claim that makes it run once cannot be recorded now.";
  case Refusal::AlreadyRun:
    return "A request with this Idempotency-Key has run or may have run.";
  case Refusal::Stopping:
    return "This host is stopping.";
  case Refusal::TargetFailed:
    return "The target failed.";
  case Refusal::DeadlineExceeded:
    return "The deadline passed.";
  case Refusal::None:
    break;
  }
  return "";
}

} // namespace

bool promisesNotRun(int Status) noexcept {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

int statusOf(Refusal Reason) noexcept {
  switch (Reason) {
  case Refusal::UnknownKey:
  case Refusal::KeyWithdrawn:
    return 401;
  case Refusal::UnknownService:
    return 404;
  case Refusal::RateLimited:
    return 429;
  case Refusal::ClaimHeldElsewhere:
  case Refusal::AlreadyRun:
    return 409;
  case Refusal::TargetFailed:
    return 502;
  case Refusal::DeadlineExceeded:
    return 504;
  case Refusal::KeysStale:
  case Refusal::DeadlineTooShort:
  case Refusal::QueueFull:
  case Refusal::NoHealthyTarget:
  case Refusal::NoHeadroom:
  case Refusal::OverShare:
  case Refusal::LessUrgent:
  case Refusal::TargetRatesUsedUp:
  case Refusal::TargetsRest:
  case Refusal::TargetsUnreached:
  case Refusal::BodyMemoryFull:
  case Refusal::SettingsOld:
  case Refusal::SettingsUnreadable:
  case Refusal::CrashSuspect:
  case Refusal::ClaimStoreDown:
  case Refusal::Stopping:
    return 503;
  case Refusal::None:
    break;
  }
  return 500;
}

std::string_view phraseOf(int Status) noexcept {
  const auto Text = http::obsolete_reason(static_cast<http::status>(Status));
  return {Text.data(), Text.size()};
}

ProblemDocument problemFor(const steering::Decision &Refused,
                           std::string_view RequestId) {
  ProblemDocument Made;
  Made.Status_ = statusOf(Refused.Refusal_);
  Made.Reason_ = steering::nameOf(Refused.Refusal_);
  Made.Detail_ = detailOf(Refused.Refusal_);
  Made.Ran_ = Refused.Ran_;
  Made.RetryAfter_ = Refused.RetryAfter_;
  Made.RequestId_ = RequestId;
  // What may have run is never answered by a status that promises the
  // opposite: the caller would send it again, and it would run twice.
  if (Made.Ran_ == steering::Ran::Maybe && promisesNotRun(Made.Status_))
    Made.Status_ = 502;
  return Made;
}

std::string ProblemDocument::render(const Vocabulary &Names, bool KeepAlive,
                                    bool WithoutBody) const {
  const auto Quoted = [](const std::string &Text) {
    return Json::valueToQuotedString(Text.c_str());
  };
  const std::string Phrase(phraseOf(Status_));
  std::string Body = "{\"type\":" + Quoted("urn:lychee:problem:" + Reason_) +
                     ",\"title\":" + Quoted(Phrase) +
                     ",\"status\":" + std::to_string(Status_) +
                     ",\"detail\":" + Quoted(Detail_) +
                     ",\"reason\":" + Quoted(Reason_) + ",\"ran\":\"" +
                     std::string(ranText(Ran_)) +
                     "\",\"requestId\":" + Quoted(RequestId_);
  if (OutcomeStatus_ != 0)
    Body += ",\"outcome\":{\"status\":" + std::to_string(OutcomeStatus_) + "}";
  Body += "}\n";
  std::string Text = "HTTP/1.1 " + std::to_string(Status_) + " " + Phrase +
                     "\r\nContent-Type: application/problem+json\r\n"
                     "Cache-Control: no-store\r\nLychee-Ran: ";
  Text += ranText(Ran_);
  Text += "\r\n" + Names.Reason_ + ": " + Reason_;
  Text += "\r\n" + Names.RequestId_ + ": " + RequestId_ + "\r\n";
  if (ToHost_)
    Text += headerLinesFor(*ToHost_, Names);
  if (RetryAfter_ > base::Duration::zero())
    Text += "Retry-After: " + retryAfterText(RetryAfter_, Names) + "\r\n";
  if (Status_ == 401)
    Text += "WWW-Authenticate: Bearer\r\n";
  if (!KeepAlive)
    Text += "Connection: close\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return WithoutBody ? Text : Text + Body;
}

} // namespace lychee::gateway
