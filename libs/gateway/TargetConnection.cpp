#include "gateway/TargetConnection.h"

#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <tuple>

namespace lychee::gateway {

TargetConnection::TargetConnection(
    const Executor &Home, std::uint32_t Worker,
    std::shared_ptr<std::atomic<std::uint32_t>> Open)
    : Socket_(Home), Worker_(Worker), Open_(std::move(Open)) {}

TargetConnection::~TargetConnection() {
  close();
  Open_->fetch_sub(1);
}

Task<ErrorCode> TargetConnection::open(const Tcp::endpoint &Where,
                                       const std::string &Source) {
  ErrorCode Error;
  if (!Source.empty()) {
    Socket_.open(Where.protocol(), Error);
    const int On = 1;
    // The port is chosen by the whole connection, else 28,000 are all there is.
    setsockopt(Socket_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
               &On, sizeof On);
    if (!Error)
      Socket_.bind({boost::asio::ip::make_address(Source), 0}, Error);
    if (Error)
      co_return Error;
  }
  std::tie(Error) = co_await Socket_.async_connect(Where, Await);
  if (Error)
    co_return Error;
  ErrorCode Ignored;
  Socket_.set_option(Tcp::no_delay(true), Ignored);
  co_return Error;
}

bool TargetConnection::isUntouched() {
  if (Buffer_.size() > 0 || !Socket_.is_open())
    return false;
  char Byte = 0;
  const auto Count =
      recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Failure: the link is cut while a request is on the way, the request is given
/// up, and the kernel goes on sending it. Symptom without the reset: it reaches
/// its target when the link is back, seconds after its caller was answered.
void TargetConnection::close() noexcept {
  ErrorCode Ignored;
  if (HasRequest_ && Socket_.is_open())
    Socket_.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Socket_.close(Ignored);
}

} // namespace lychee::gateway
