#include "gateway/RawTarget.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace lychee::tests {

using boost::asio::ip::tcp;

RawTarget::RawTarget(Script Serve)
    : Serve_(std::move(Serve)),
      Acceptor_(Context_,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      Accepting_([this] { acceptAll(); }) {}

RawTarget::~RawTarget() {
  // A blocking accept ends by a connection, not by a close from elsewhere.
  boost::system::error_code Ignored;
  const tcp::endpoint Where = Acceptor_.local_endpoint();
  Accepting_.request_stop();
  Socket Last(Context_);
  Last.connect(Where, Ignored);
  Accepting_.join();
}

std::string RawTarget::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

void RawTarget::acceptAll() {
  while (true) {
    boost::system::error_code Failure;
    Socket Accepted = Acceptor_.accept(Failure);
    if (Failure || Accepting_.get_stop_token().stop_requested())
      return;
    Served_.emplace_back([this, Taken = std::make_shared<Socket>(
                                    std::move(Accepted))] { Serve_(*Taken); });
  }
}

std::string RawTarget::readHead(Socket &From) {
  std::string Text;
  boost::system::error_code Failure;
  const std::size_t Length = boost::asio::read_until(
      From, boost::asio::dynamic_buffer(Text), "\r\n\r\n", Failure);
  return Failure ? std::string() : Text.substr(0, Length);
}

void RawTarget::send(Socket &To, const std::string &Bytes) {
  boost::system::error_code Ignored;
  boost::asio::write(To, boost::asio::buffer(Bytes), Ignored);
}

void RawTarget::waitForEnd(Socket &From) {
  std::array<char, 4096> Unwanted{};
  boost::system::error_code Failure;
  while (!Failure)
    From.read_some(boost::asio::buffer(Unwanted), Failure);
}

} // namespace lychee::tests
