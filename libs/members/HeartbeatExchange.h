#ifndef LYCHEE_MEMBERS_HEARTBEATEXCHANGE_H
#define LYCHEE_MEMBERS_HEARTBEATEXCHANGE_H

#include "members/HostTable.h"
#include "members/PacedSender.h"
#include "settings/DaemonSettings.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace lychee::members {

/// Sends this host's heartbeat to all others of its region at a steady pace,
/// and at once where something must not wait; takes theirs. \see HostTable,
/// RegionExchange
class HeartbeatExchange {
public:
  /// Look-ups must drop a dead host within seconds; \see HostTable::AliveFor.
  static constexpr std::chrono::milliseconds Pace{500};
  /// Who and where this host is, and which others it hears, is told at first in
  /// each heartbeat, and later now and then, for the case that the store is
  /// away. A host that starts is told at once, by answer().
  static constexpr std::uint64_t CardEvery = 8;
  static constexpr std::uint64_t FirstBeats = 4;
  /// A larger datagram would be cut into more packets, of which each may be
  /// lost.
  static constexpr std::size_t MostBytes = 8UL * 1024;

  struct Callbacks {
    /// \returns what to say now, but for sender and sequence: all demands
    /// where \p Whole, and the hosts that are heard where \p WithCard.
    std::function<Heartbeat(bool Whole, bool WithCard, base::TimePoint)> Say_;
    /// \returns the same with all demands and hosts, for one host alone: to the
    /// others it was not told, and what they are told next starts from what
    /// they know.
    std::function<Heartbeat(base::TimePoint)> Answer_;
    /// Hears each heartbeat. \p News  the host was not heard lately, or
    /// changed.
    std::function<void(const Heartbeat &, bool News, base::TimePoint)> Hear_;
  };

  /// \param Book  outlives this. \param Listen  where heartbeats come in; all
  /// hosts use its port.
  HeartbeatExchange(const boost::asio::any_io_executor &Executor,
                    HostTable &Book, settings::Endpoint Listen,
                    Callbacks Others);
  HeartbeatExchange(const HeartbeatExchange &) = delete;
  HeartbeatExchange &operator=(const HeartbeatExchange &) = delete;

  /// \returns false, and \p Last filled, where the address cannot be had.
  bool open(base::Error &Last);

  /// Both run until the executor ends.
  boost::asio::awaitable<void> sendAll();
  boost::asio::awaitable<void> receiveAll();

  /// Sends a heartbeat to all now, besides the steady ones.
  void sendNow(base::TimePoint Now);

  /// Tells one host all at once: it has just started, and would else not know
  /// who and where this host is before the next heartbeat that says so.
  void sendFullTo(const std::string &Address, base::TimePoint Now);

private:
  /// \returns the text of a heartbeat, cut to what one datagram holds.
  std::string textOf(Heartbeat Said, bool WithCard);
  void take(std::string_view Text, base::TimePoint Now);
  void say(bool Whole, bool WithCard, base::TimePoint Now);

  HostTable &Book_;
  const settings::Endpoint Listen_;
  const Callbacks Others_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PacedSender Sender_;
  std::array<char, MostBytes> Received_{};
  std::uint64_t Sequence_ = 0;
};

} // namespace lychee::members

#endif
