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

/// Asks the hosts that ask the store what they heard, and answers hosts that
/// ask this one. Of the control loop's thread. \see RelayRole
class RelayExchange {
public:
  /// How often this host looks whom to ask.
  static constexpr std::chrono::milliseconds Pace{100};
  /// A host that has not answered by then is asked anew.
  static constexpr std::chrono::milliseconds Timeout{400};

  struct Callbacks {
    std::function<RelayRequest(base::TimePoint Now)> Ask_;
    std::function<RelayResponse(const RelayRequest &, base::TimePoint)> Answer_;
    std::function<void(const RelayResponse &, base::TimePoint AskedAt,
                       base::TimePoint Now)>
        Take_;
    /// A host did not answer, or not so that it can be read.
    std::function<void(const std::string &Address, const base::Error &)>
        Trouble_;
  };

  /// \param Role  outlives this. \param Port  of all hosts.
  RelayExchange(const boost::asio::any_io_executor &Executor, RelayRole &Role,
                std::uint16_t Port, Callbacks Others);
  RelayExchange(const RelayExchange &) = delete;
  RelayExchange &operator=(const RelayExchange &) = delete;

  /// Runs until the executor ends.
  boost::asio::awaitable<void> pollAll();

  transport::HttpAnswer answer(const transport::HttpRequest &Asked,
                               base::TimePoint Now) const;

private:
  struct Peer {
    std::string Address_;
    transport::HttpClient Client_;
    bool Pending_ = false;
  };

  boost::asio::awaitable<void> ask(std::shared_ptr<Peer> Whom);
  void dropUnasked();

  const boost::asio::any_io_executor Executor_;
  RelayRole &Role_;
  const std::uint16_t Port_;
  const Callbacks Others_;
  std::map<std::string, std::shared_ptr<Peer>> Peers_;
};

} // namespace lychee::relaying

#endif
