#include "gateway/HeaderPolicy.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace lychee::gateway {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

std::string_view viewOf(boost::beast::string_view Text) noexcept {
  return {Text.data(), Text.size()};
}

/// Headers of one connection (RFC 9110 7.6.1), and those of the body's
/// framing, which are written anew.
constexpr std::array ConnectionFields{http::field::connection,
                                      http::field::keep_alive,
                                      http::field::proxy_connection,
                                      http::field::te,
                                      http::field::trailer,
                                      http::field::transfer_encoding,
                                      http::field::upgrade,
                                      http::field::content_length,
                                      http::field::expect,
                                      http::field::authorization,
                                      http::field::proxy_authorization,
                                      http::field::proxy_authenticate};

/// Names that only the gateway sets, so that neither side can pose as it.
constexpr std::string_view OwnPrefix = "lychee-";

bool isOwn(std::string_view Name) {
  return Name.size() >= OwnPrefix.size() &&
         iequals(Name.substr(0, OwnPrefix.size()), OwnPrefix);
}

/// Which headers of a message stay behind.
template <typename Message> class Filter {
public:
  Filter(const Message &Head, std::string_view Secret)
      : Secret_(Secret), Connection_(Head[http::field::connection]),
        HasOthers_(!Connection_.empty() && !iequals(Connection_, "close") &&
                   !iequals(Connection_, "keep-alive")) {}

  bool passes(const typename Message::fields_type::value_type &Field) const {
    if (std::find(ConnectionFields.begin(), ConnectionFields.end(),
                  Field.name()) != ConnectionFields.end())
      return false;
    const std::string_view Name = viewOf(Field.name_string());
    if (isOwn(Name))
      return false;
    // The key copied to a second header would reach the target by that.
    if (!Secret_.empty() &&
        viewOf(Field.value()).find(Secret_) != std::string_view::npos)
      return false;
    return !HasOthers_ || !http::token_list(Connection_).exists(Name);
  }

private:
  std::string_view Secret_;
  boost::beast::string_view Connection_;
  bool HasOthers_;
};

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

template <typename Message>
void appendFields(std::string &Text, const Message &Head,
                  std::string_view Secret) {
  const Filter<Message> Filtered(Head, Secret);
  for (const auto &Field : Head)
    if (Filtered.passes(Field))
      appendField(Text, viewOf(Field.name_string()), viewOf(Field.value()));
}

void appendFraming(std::string &Text, const Framing &Body) {
  if (Body.Chunked_)
    appendField(Text, "Transfer-Encoding", "chunked");
  else if (Body.Length_)
    appendField(Text, "Content-Length", std::to_string(*Body.Length_));
}

/// Room for a usual head without a second allocation.
constexpr std::size_t UsualHeadBytes = 512;

} // namespace

std::string requestFieldsFor(const RequestReader::Message &Head,
                             std::string_view PresentedKey) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  if (Head.count(http::field::host) == 0)
    appendField(Text, "Host", "");
  appendFields(Text, Head, PresentedKey);
  return Text;
}

std::string requestHeadFor(const CallerRequest &Read, std::string_view Fields,
                           const ForwardedRequest &Added) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  Text += Read.Method_;
  Text += ' ';
  Text += Read.RequestTarget_;
  Text += " HTTP/1.1\r\n";
  Text += Fields;
  appendField(Text, "Lychee-Request-Id", Added.RequestId_);
  appendField(Text, "Lychee-Customer", Added.Customer_);
  appendField(Text, "Lychee-Deadline-Ms",
              std::to_string(base::toMilliseconds(Added.TimeLeft_)));
  appendFraming(Text, Added.Body_);
  Text += "\r\n";
  return Text;
}

std::string answerHeadFor(const AnswerReader::Message &Head,
                          const ForwardedAnswer &Added) {
  std::string Text;
  Text.reserve(UsualHeadBytes);
  Text += "HTTP/1.1 ";
  Text += std::to_string(Head.result_int());
  Text += ' ';
  Text += viewOf(Head.reason());
  Text += "\r\n";
  appendFields(Text, Head, {});
  appendField(Text, "Lychee-Request-Id", Added.RequestId_);
  if (!Added.KeepAlive_)
    appendField(Text, "Connection", "close");
  appendFraming(Text, Added.Body_);
  Text += "\r\n";
  return Text;
}

std::string chunkSizeLine(std::size_t Bytes) {
  std::array<char, 16> Digits{};
  const auto Written =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Bytes, 16);
  return std::string(Digits.data(), Written.ptr) + "\r\n";
}

bool saysNotRun(const AnswerReader::Message &Head) {
  return Head.result() == http::status::service_unavailable &&
         iequals(Head["Lychee-Ran"], "no");
}

} // namespace lychee::gateway
