#include "gateway/CallerRequest.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace lychee::gateway {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

/// A longer deadline is a mistake: nobody waits for a day.
constexpr std::int64_t MaximumDeadlineMs = 24LL * 60 * 60 * 1000;
constexpr std::string_view BearerScheme = "bearer ";
/// Idempotency keys are kept in the store; UUIDs take 36.
constexpr std::size_t MaximumIdempotencyKeyBytes = 128;
/// Names of hosts are at most so long; the log gets no more of the header.
constexpr std::size_t MaximumHostNameBytes = 64;

std::string_view viewOf(boost::beast::string_view Text) noexcept {
  return {Text.data(), Text.size()};
}

std::optional<RequestFault> faultOf(std::string_view Detail) {
  return RequestFault{std::string(Detail)};
}

std::optional<RequestFault> checkFraming(const RequestReader::Message &Head) {
  const auto Lengths = Head.count(http::field::content_length);
  const auto Codings = Head.count(http::field::transfer_encoding);
  if (Lengths > 1)
    return faultOf("Content-Length stands twice");
  // Beast takes the list "3, 3" for 3; other servers refuse it or take it for
  // something else.
  if (Lengths == 1 &&
      viewOf(Head[http::field::content_length])
              .find_first_not_of("0123456789") != std::string_view::npos)
    return faultOf("Content-Length is not a number");
  if (Lengths > 0 && Codings > 0)
    return faultOf("Content-Length next to Transfer-Encoding");
  if (Codings > 1 ||
      (Codings == 1 &&
       !iequals(Head[http::field::transfer_encoding], "chunked")))
    return faultOf("Transfer-Encoding is not exactly \"chunked\"");
  if (Codings == 1 && Head.version() < 11)
    return faultOf("Transfer-Encoding in HTTP/1.0");
  return std::nullopt;
}

std::optional<RequestFault> readHost(const RequestReader::Message &Head,
                                     CallerRequest &Read) {
  const auto Hosts = Head.count(http::field::host);
  if (Hosts > 1 || (Hosts == 0 && Head.version() >= 11))
    return faultOf("exactly one Host header is needed");
  std::string_view Text = viewOf(Head[http::field::host]);
  Text = Text.substr(0, Text.rfind(':'));
  Read.HostName_.assign(Text);
  std::transform(Read.HostName_.begin(), Read.HostName_.end(),
                 Read.HostName_.begin(), [](char Character) {
                   return boost::beast::detail::ascii_tolower(Character);
                 });
  return std::nullopt;
}

std::optional<RequestFault> readTarget(const RequestReader::Message &Head,
                                       CallerRequest &Read) {
  Read.Method_ = viewOf(Head.method_string());
  Read.RequestTarget_ = viewOf(Head.target());
  if (Head.method() == http::verb::connect ||
      Head.method() == http::verb::trace)
    return faultOf("CONNECT and TRACE are not served");
  if (!Read.RequestTarget_.starts_with('/'))
    return faultOf("the request target does not begin with \"/\"");
  const std::size_t Mark = Read.RequestTarget_.find('?');
  Read.Path_ = Read.RequestTarget_.substr(0, Mark);
  if (Mark != std::string_view::npos)
    Read.Query_ = Read.RequestTarget_.substr(Mark + 1);
  return std::nullopt;
}

std::optional<RequestFault> readKey(const RequestReader::Message &Head,
                                    CallerRequest &Read) {
  if (Head.count(http::field::authorization) > 1)
    return faultOf("Authorization stands twice");
  const std::string_view Text = viewOf(Head[http::field::authorization]);
  if (Text.size() < BearerScheme.size() ||
      !iequals(Text.substr(0, BearerScheme.size()), BearerScheme))
    return std::nullopt;
  Read.PresentedKey_ = Text.substr(BearerScheme.size());
  // A key in the request line would reach the target and every log on the way.
  if (!Read.PresentedKey_.empty() &&
      Read.RequestTarget_.find(Read.PresentedKey_) != std::string_view::npos)
    return faultOf("the key stands in the request line");
  return std::nullopt;
}

/// \returns the value of a cookie; empty where it does not stand.
std::string_view cookieOf(const RequestReader::Message &Head,
                          std::string_view Name) {
  std::string_view Rest = viewOf(Head[http::field::cookie]);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find(';');
    std::string_view Pair = Rest.substr(0, End);
    Pair.remove_prefix(std::min(Pair.find_first_not_of(' '), Pair.size()));
    if (Pair.size() > Name.size() && Pair.starts_with(Name) &&
        Pair[Name.size()] == '=')
      return Pair.substr(Name.size() + 1);
    if (End == std::string_view::npos)
      break;
    Rest.remove_prefix(End + 1);
  }
  return {};
}

std::optional<RequestFault> readDeadline(const RequestReader::Message &Head,
                                         const Vocabulary &Names,
                                         CallerRequest &Read) {
  const std::string_view Limit = viewOf(Head[Names.Deadline_]);
  if (Head.count(Names.Deadline_) == 0)
    return std::nullopt;
  std::int64_t Milliseconds = 0;
  const auto [End, Error] =
      std::from_chars(Limit.data(), Limit.data() + Limit.size(), Milliseconds);
  if (Error != std::errc() || End != Limit.data() + Limit.size() ||
      Milliseconds < 1 || Milliseconds > MaximumDeadlineMs)
    return faultOf(Names.Deadline_ + " is not a number of 1 to 86400000");
  Read.Deadline_ = std::chrono::milliseconds(Milliseconds);
  return std::nullopt;
}

std::optional<RequestFault> readOptions(const RequestReader::Message &Head,
                                        const Vocabulary &Names,
                                        CallerRequest &Read) {
  Read.ServiceName_ = viewOf(Head["Lychee-Service"]);
  Read.IdempotencyKey_ = viewOf(Head["Idempotency-Key"]);
  if (Head.count("Idempotency-Key") > 1 || Head.count("Lychee-Service") > 1 ||
      Head.count(Names.Deadline_) > 1 || Head.count(Names.RequestId_) > 1)
    return faultOf("a header that may stand once stands twice");
  if (Read.IdempotencyKey_.size() > MaximumIdempotencyKeyBytes)
    return faultOf("Idempotency-Key is longer than 128 bytes");
  Read.ExpectsContinue_ = iequals(Head[http::field::expect], "100-continue");
  Read.KeepAlive_ = Head.keep_alive();
  if (Names.CallerNamesRequest_)
    Read.RequestId_ = viewOf(Head[Names.RequestId_]);
  if (!Names.ObjectCookie_.empty())
    Read.ObjectKey_ = cookieOf(Head, Names.ObjectCookie_);
  return readDeadline(Head, Names, Read);
}

/// Reads a number into \p Into where the header stands.
template <typename Number>
std::optional<RequestFault> readNumber(const RequestReader::Message &Head,
                                       const std::string &Name, Number &Into) {
  const std::string_view Text = viewOf(Head[Name]);
  if (Text.empty())
    return std::nullopt;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Into);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return faultOf(Name + " is not a number");
  return std::nullopt;
}

/// A caller that sends these headers itself only gives up what a host would do
/// for it.
std::optional<RequestFault> readForwarding(const RequestReader::Message &Head,
                                           const Vocabulary &Names,
                                           CallerRequest &Read) {
  Read.ForwardedBy_ =
      viewOf(Head[Names.ForwardedBy_]).substr(0, MaximumHostNameBytes);
  if (Read.ForwardedBy_.empty())
    return std::nullopt;
  std::uint32_t Sends = 0;
  if (auto Fault = readNumber(Head, Names.SendsLeft_, Sends))
    return Fault;
  if (Sends > 0)
    Read.SendsLeft_ = Sends;
  return readNumber(Head, Names.SettingsVersion_, Read.LeastVersion_);
}

} // namespace

std::optional<RequestFault>
parseCallerRequest(const RequestReader::Message &Head, const Vocabulary &Names,
                   CallerRequest &Read) {
  if (Head.version() != 10 && Head.version() != 11)
    return faultOf("only HTTP/1.1 and HTTP/1.0 are served");
  for (const auto Step : {readHost, readTarget, readKey})
    if (auto Fault = Step(Head, Read))
      return Fault;
  if (auto Fault = readOptions(Head, Names, Read))
    return Fault;
  if (auto Fault = readForwarding(Head, Names, Read))
    return Fault;
  return checkFraming(Head);
}

} // namespace lychee::gateway
