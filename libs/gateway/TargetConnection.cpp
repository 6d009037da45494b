#include "gateway/TargetConnection.h"

#include <cerrno>
#include <sys/socket.h>

namespace lychee::gateway {

TargetConnection::TargetConnection(
    const Executor &Home, std::uint32_t Worker,
    std::shared_ptr<std::atomic<std::uint32_t>> Open)
    : Socket_(Home), Worker_(Worker), Open_(std::move(Open)) {}

TargetConnection::~TargetConnection() {
  close();
  Open_->fetch_sub(1);
}

bool TargetConnection::isUntouched() {
  if (Buffer_.size() > 0 || !Socket_.is_open())
    return false;
  char Byte = 0;
  const auto Count =
      recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TargetConnection::close() noexcept {
  ErrorCode Ignored;
  Socket_.close(Ignored);
}

} // namespace lychee::gateway
