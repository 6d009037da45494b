#ifndef LYCHEE_MEMBERS_TOKENEXCHANGE_H
#define LYCHEE_MEMBERS_TOKENEXCHANGE_H

#include "members/TokenMessages.h"
#include "settings/DaemonSettings.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace lychee::members {

/// Requests tokens of customers' and targets' rates from other hosts, and
/// answers such requests: one datagram of about 60 bytes each way. A lost
/// datagram means a request that is not answered in time, or a token that
/// nobody spends. \see dispatch::CustomerRateLimiter,
/// dispatch::StatedRateLimiter
class TokenExchange {
public:
  struct Callbacks {
    /// Takes a token for another host.
    /// \returns nothing if there was one, or the time until there will be one.
    std::function<std::optional<base::Duration>(const TokenRequest &,
                                                base::TimePoint)>
        TakeToken_;
    /// Called with the answer to a request of this host.
    std::function<void(std::uint64_t Ticket, std::optional<base::Duration> Wait,
                       base::TimePoint)>
        OnAnswer_;
    /// Called with a customer's token that another host did not need.
    std::function<void(const base::CustomerId &)> OnRefund_ = [](const auto &) {
    };
  };

  /// \param Listen address for datagrams; all hosts use its port.
  /// \param Incarnation of this host. \see HostDescriptor
  TokenExchange(const boost::asio::any_io_executor &Executor,
                settings::Endpoint Listen, std::uint64_t Incarnation,
                Callbacks Handlers);
  TokenExchange(const TokenExchange &) = delete;
  TokenExchange &operator=(const TokenExchange &) = delete;

  /// \returns false and fills \p Last if the address cannot be bound.
  bool open(base::Error &Last);

  /// Requests a token from the host at \p Address. To be called on the
  /// executor's thread.
  void ask(const std::string &Address, std::uint64_t Ticket,
           const TokenRequest &Wanted);

  /// Returns a customer's token to the host at \p Address that granted it. To
  /// be called on the executor's thread.
  void refund(const std::string &Address, const base::CustomerId &Customer);

  /// Runs until the executor ends.
  boost::asio::awaitable<void> receiveAll();

private:
  void handle(const TokenMessage &Message,
              const boost::asio::ip::udp::endpoint &Sender);
  void sendTo(const std::string &Address, const TokenMessage &Message);
  void send(const TokenMessage &Message,
            const boost::asio::ip::udp::endpoint &Receiver);

  static constexpr std::size_t MaxBytes = 1024;

  const settings::Endpoint Listen_;
  const std::uint64_t Incarnation_;
  const Callbacks Callbacks_;
  boost::asio::ip::udp::socket Socket_;
  std::array<char, MaxBytes> Buffer_{};
};

} // namespace lychee::members

#endif
