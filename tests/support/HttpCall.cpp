#include "support/HttpCall.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <sys/socket.h>
#include <sys/time.h>

namespace lychee::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr timeval Patience{.tv_sec = 20, .tv_usec = 0};

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

asio::ip::tcp::endpoint parseAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))};
}

} // namespace

std::string CallerAnswer::header(const std::string &Name) const {
  const auto Found = Headers_.find(lower(Name));
  return Found == Headers_.end() ? std::string() : Found->second;
}

CallerConnection::CallerConnection(const std::string &Address)
    : Socket_(Context_) {
  boost::system::error_code Failure;
  Socket_.connect(parseAddress(Address), Failure);
  Connected_ = !Failure;
  if (!Connected_)
    return;
  const int Handle = Socket_.native_handle();
  setsockopt(Handle, SOL_SOCKET, SO_RCVTIMEO, &Patience, sizeof(Patience));
  setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &Patience, sizeof(Patience));
}

CallerAnswer CallerConnection::send(const CallerRequest &Request) {
  CallerAnswer Got;
  if (!Connected_)
    return Got;
  http::request<http::string_body> Message;
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.version(11);
  Message.set(http::field::host, "test");
  for (const auto &[Name, Value] : Request.Headers_)
    Message.set(Name, Value);
  Message.body() = Request.Body_;
  Message.prepare_payload();
  boost::system::error_code Failure;
  http::write(Socket_, Message, Failure);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(std::uint64_t(1) << 30);
  if (!Failure)
    http::read(Socket_, Buffer_, Parser, Failure);
  if (Failure) {
    Connected_ = false;
    return Got;
  }
  const auto &Answer = Parser.get();
  Got.Status_ = static_cast<int>(Answer.result_int());
  for (const auto &Field : Answer)
    Got.Headers_[lower(std::string(Field.name_string()))] =
        std::string(Field.value());
  Got.Body_ = Answer.body();
  Connected_ = Answer.keep_alive();
  return Got;
}

CallerAnswer call(const std::string &Address, const CallerRequest &Request) {
  return CallerConnection(Address).send(Request);
}

CallerAnswer get(const std::string &Address, const std::string &Target) {
  CallerRequest Request;
  Request.Target_ = Target;
  return call(Address, Request);
}

} // namespace lychee::tests
