#include "gateway/UploadTarget.h"

#include "gateway/Fixture.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <thread>
#include <utility>

namespace lychee::tests {

namespace http = boost::beast::http;

UploadTarget::UploadTarget(Behaviour How)
    : How_(std::move(How)),
      Server_([this](RawTarget::Socket &From) { serve(From); }) {}

UploadTarget::~UploadTarget() { Over_ = true; }

void UploadTarget::serve(RawTarget::Socket &From) {
  boost::beast::flat_buffer Buffer;
  while (!Over_) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    boost::system::error_code Failure;
    http::read_header(From, Buffer, Parser, Failure);
    if (Failure)
      return;
    if (How_.Early_) {
      RawTarget::send(From, How_.Answer_);
      std::this_thread::sleep_for(How_.Pause_);
      if (How_.Then_ == Behaviour::Then::ReadNothing)
        waitFor([this] { return Over_.load(); });
      if (How_.Then_ == Behaviour::Then::Reset)
        From.set_option(boost::asio::socket_base::linger(true, 0), Failure);
      if (How_.Then_ != Behaviour::Then::ReadOn)
        return;
    }
    while (!Parser.is_done() && !Failure)
      http::read_some(From, Buffer, Parser, Failure);
    const bool Ended = Failure == http::error::partial_message ||
                       Failure == http::error::end_of_stream ||
                       Failure == boost::asio::error::eof ||
                       Failure == boost::asio::error::connection_reset;
    {
      const std::lock_guard Guard(Lock_);
      Uploads_.push_back(
          {Parser.get().body(), Parser.is_done(), Failure && !Ended});
    }
    if (Failure)
      return;
    if (!How_.Early_)
      RawTarget::send(From, How_.Answer_);
  }
}

std::vector<Upload> UploadTarget::uploads() const {
  const std::lock_guard Guard(Lock_);
  return Uploads_;
}

std::string emptyAnswer(const std::string &Status, const std::string &Headers) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers + "Content-Length: 0\r\n\r\n";
}

} // namespace lychee::tests
