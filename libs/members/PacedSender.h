#ifndef LYCHEE_MEMBERS_PACEDSENDER_H
#define LYCHEE_MEMBERS_PACEDSENDER_H

#include "members/DatagramPace.h"

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

/// Sends a text to many hosts, no faster than their links carry it.
///
/// Of one executor's thread. \see DatagramPace
class PacedSender {
public:
  /// Waiting datagrams; more are older than the next text for the same host.
  static constexpr std::size_t MostWaiting = 1024;
  static constexpr std::chrono::milliseconds Pause{10};

  /// \param Socket  outlives this.
  PacedSender(boost::asio::ip::udp::socket &Socket, std::uint16_t Port);
  PacedSender(const PacedSender &) = delete;
  PacedSender &operator=(const PacedSender &) = delete;

  void send(std::string Text, std::span<const std::string> Receivers);

private:
  struct Waiting {
    std::shared_ptr<const std::string> Text_;
    std::string Receiver_;
  };

  /// Sends what may leave now.
  void sendSome();
  boost::asio::awaitable<void> sendRest();

  boost::asio::ip::udp::socket &Socket_;
  const std::uint16_t Port_;
  boost::asio::steady_timer Timer_;
  DatagramPace Pace_;
  std::deque<Waiting> Waiting_;
  bool Sending_ = false;
};

} // namespace lychee::members

#endif
