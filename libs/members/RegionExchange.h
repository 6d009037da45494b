#ifndef LYCHEE_MEMBERS_REGIONEXCHANGE_H
#define LYCHEE_MEMBERS_REGIONEXCHANGE_H

#include "members/HostTable.h"
#include "members/PacedSender.h"
#include "members/RegionTeller.h"
#include "settings/DaemonSettings.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace lychee::members {

/// Tells the speakers of other regions what this host knows of its own, where
/// it is a speaker itself, and passes on to its region what theirs tell.
///
/// \see HostTable, HeartbeatExchange
class RegionExchange {
public:
  static constexpr std::chrono::milliseconds Pace{500};
  static constexpr std::size_t MostBytes = 16UL * 1024;

  struct Callbacks {
    /// \returns what this host has to tell of itself.
    std::function<LocalHostSummary(base::TimePoint)> Say_;
    /// \returns whether this host was told to stop.
    std::function<bool()> IsLeaving_;
    /// Hears news that were not known.
    std::function<void(const RegionUpdate &, base::TimePoint)> Hear_;
  };

  /// \param Book  outlives this. \param Heartbeats  where heartbeats come in;
  /// news come by the next port, which all hosts use.
  RegionExchange(const boost::asio::any_io_executor &Executor, HostTable &Book,
                 const settings::Endpoint &Heartbeats, Callbacks Others);
  RegionExchange(const RegionExchange &) = delete;
  RegionExchange &operator=(const RegionExchange &) = delete;

  /// \returns false, and \p Last filled, where the address cannot be had.
  bool open(base::Error &Last);

  /// Both run until the executor ends.
  boost::asio::awaitable<void> sendAll();
  boost::asio::awaitable<void> receiveAll();

  /// Tells other regions now, besides the steady news.
  void sendNow(base::TimePoint Now);

private:
  void take(std::string_view Text, const boost::asio::ip::address &Sender,
            base::TimePoint Now);

  HostTable &Book_;
  const settings::Endpoint Listen_;
  const Callbacks Others_;
  const base::TimePoint Begun_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PacedSender Sender_;
  RegionTeller Teller_;
  std::array<char, MostBytes> Received_{};
  std::uint64_t Sequence_ = 0;
};

} // namespace lychee::members

#endif
