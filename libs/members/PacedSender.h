#ifndef LYCHEE_MEMBERS_PACEDSENDER_H
#define LYCHEE_MEMBERS_PACEDSENDER_H

#include "members/DatagramRateLimiter.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>

namespace lychee::members {

/// Sends a message to many hosts no faster than their links carry it.
///
/// Used on the thread of one executor. \see DatagramRateLimiter
class PacedSender {
public:
  /// Largest number of queued datagrams. Older ones are outdated by the next
  /// message to the same host.
  static constexpr std::size_t MaxQueued = 1024;
  static constexpr std::chrono::milliseconds SendInterval{10};

  /// \param Socket must outlive this.
  PacedSender(boost::asio::ip::udp::socket &Socket, std::uint16_t Port);
  PacedSender(const PacedSender &) = delete;
  PacedSender &operator=(const PacedSender &) = delete;

  void send(std::string Text, std::span<const std::string> Receivers);

private:
  struct QueuedDatagram {
    std::shared_ptr<const std::string> Text_;
    std::string Receiver_;
  };

  /// Sends queued datagrams as far as the rate limit allows.
  void sendAllowed();
  boost::asio::awaitable<void> drainQueue();

  boost::asio::ip::udp::socket &Socket_;
  const std::uint16_t Port_;
  boost::asio::steady_timer Timer_;
  DatagramRateLimiter Limiter_;
  std::deque<QueuedDatagram> Queue_;
  bool Sending_ = false;
};

} // namespace lychee::members

#endif
