#ifndef LYCHEE_GATEWAY_LISTENER_H
#define LYCHEE_GATEWAY_LISTENER_H

#include "base/Error.h"
#include "gateway/Worker.h"

#include <memory>
#include <span>
#include <vector>

namespace lychee::gateway {

/// Accepts callers and hands them to the workers in turn, so that a few
/// connections spread as evenly as many. (The kernel's SO_REUSEPORT spreads by
/// a hash, which leaves workers idle while there are few.)
class Listener {
public:
  /// Accepts on the thread of the first worker. \param Workers  outlive it.
  explicit Listener(std::span<const std::unique_ptr<Worker>> Workers);
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  bool open(const settings::Endpoint &At, base::Error &Failure);
  void start();

  /// Takes what the kernel has accepted already, then closes. Each connection
  /// is counted when this returns. On the thread of the first worker.
  Task<void> close();

  settings::Endpoint endpoint() const { return Endpoint_; }

private:
  Task<void> acceptCallers();
  void hand(Socket Accepted);
  /// Tells a caller over the connection limit so.
  void refuse(Socket &Accepted);

  std::span<const std::unique_ptr<Worker>> Workers_;
  boost::asio::basic_socket_acceptor<Tcp, Executor> Acceptor_;
  settings::Endpoint Endpoint_;
  std::size_t Next_ = 0;
};

} // namespace lychee::gateway

#endif
