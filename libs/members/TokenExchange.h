#ifndef LYCHEE_MEMBERS_TOKENEXCHANGE_H
#define LYCHEE_MEMBERS_TOKENEXCHANGE_H

#include "members/TokenMessages.h"
#include "settings/DaemonSettings.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace lychee::members {

/// Asks other hosts of the region for tokens of customers' rates, and answers
/// their questions: a datagram each way, some 60 bytes. One that is lost is a
/// question that is not answered in time, and a token that nobody spends.
/// \see dispatch::CustomerRateLimiter
class TokenExchange {
public:
  struct Callbacks {
    /// \returns when a token is there for another host; nothing: it took one.
    std::function<std::optional<base::Duration>(const base::CustomerId &,
                                                base::TimePoint)>
        Give_;
    /// Hears the answer on a request of this host.
    std::function<void(std::uint64_t Ticket, std::optional<base::Duration> Wait,
                       base::TimePoint)>
        Hear_;
  };

  /// \param Listen  where datagrams come in; all hosts use its port.
  /// \param Start  of this host. \see HostDescriptor
  TokenExchange(const boost::asio::any_io_executor &Executor,
                settings::Endpoint Listen, std::uint64_t Start,
                Callbacks Others);
  TokenExchange(const TokenExchange &) = delete;
  TokenExchange &operator=(const TokenExchange &) = delete;

  /// \returns false, and \p Last filled, where the address cannot be had.
  bool open(base::Error &Last);

  /// Asks the host at \p Address; of the executor's thread.
  void ask(const std::string &Address, std::uint64_t Ticket,
           const base::CustomerId &Customer);

  /// Runs until the executor ends.
  boost::asio::awaitable<void> receiveAll();

private:
  void take(const TokenMessage &Said,
            const boost::asio::ip::udp::endpoint &Sender);
  void send(const TokenMessage &Said,
            const boost::asio::ip::udp::endpoint &Receiver);

  static constexpr std::size_t MostBytes = 1024;

  const settings::Endpoint Listen_;
  const std::uint64_t Start_;
  const Callbacks Others_;
  boost::asio::ip::udp::socket Socket_;
  std::array<char, MostBytes> Received_{};
};

} // namespace lychee::members

#endif
