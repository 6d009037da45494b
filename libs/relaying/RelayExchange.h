#ifndef LYCHEE_RELAYING_RELAYEXCHANGE_H
#define LYCHEE_RELAYING_RELAYEXCHANGE_H

#include "relaying/RelayMessages.h"
#include "relaying/RelayRole.h"
#include "transport/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lychee::relaying {

/// Polls the hosts that read the store for updates, and answers other hosts'
/// polls. Used on the control loop's thread. \see RelayRole
class RelayExchange {
public:
  /// Interval at which this host checks which readers to poll.
  static constexpr std::chrono::milliseconds Interval{100};
  /// A reader that has not responded within this time is polled again.
  static constexpr std::chrono::milliseconds Timeout{400};

  struct Callbacks {
    std::function<RelayRequest(base::TimePoint Now)> BuildRequest_;
    std::function<RelayResponse(const RelayRequest &, base::TimePoint)>
        BuildResponse_;
    std::function<void(const RelayResponse &, base::TimePoint SentAt,
                       base::TimePoint Now)>
        OnResponse_;
    /// Called if a host does not respond or its response is invalid.
    std::function<void(const std::string &Address, const base::Error &)>
        OnFailure_;
  };

  /// \param Role must outlive this.
  /// \param Port port of all hosts.
  RelayExchange(const boost::asio::any_io_executor &Executor, RelayRole &Role,
                std::uint16_t Port, Callbacks Handlers);
  RelayExchange(const RelayExchange &) = delete;
  RelayExchange &operator=(const RelayExchange &) = delete;

  /// Runs until the executor ends.
  boost::asio::awaitable<void> pollAll();

  transport::HttpAnswer answer(const transport::HttpRequest &Request,
                               base::TimePoint Now) const;

private:
  struct Peer {
    std::string Address_;
    transport::HttpClient Client_;
    bool Pending_ = false;
  };

  boost::asio::awaitable<void> poll(std::shared_ptr<Peer> Reader);
  void dropIdlePeers();

  const boost::asio::any_io_executor Executor_;
  RelayRole &Role_;
  const std::uint16_t Port_;
  const Callbacks Callbacks_;
  std::map<std::string, std::shared_ptr<Peer>> Peers_;
};

} // namespace lychee::relaying

#endif
