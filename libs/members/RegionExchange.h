#ifndef LYCHEE_MEMBERS_REGIONEXCHANGE_H
#define LYCHEE_MEMBERS_REGIONEXCHANGE_H

#include "members/HostTable.h"
#include "members/PacedSender.h"
#include "members/RegionAnnouncer.h"
#include "settings/DaemonSettings.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace lychee::members {

/// Sends the state of this host's region to the representatives of other
/// regions if this host is a representative, and forwards their updates to its
/// own region.
///
/// \see HostTable, HeartbeatExchange
class RegionExchange {
public:
  static constexpr std::chrono::milliseconds Interval{500};
  static constexpr std::size_t MaxBytes = 16UL * 1024;

  struct Callbacks {
    /// \returns the state of this host.
    std::function<LocalHostSummary(base::TimePoint)> Summarize_;
    /// \returns whether this host was told to stop.
    std::function<bool()> IsLeaving_;
    /// Called for each update that was not known yet.
    std::function<void(const RegionUpdate &, base::TimePoint)> OnUpdate_;
  };

  /// \param Hosts must outlive this.
  /// \param Heartbeats address for heartbeats. Updates use the next port; it is
  /// the same on all hosts.
  RegionExchange(const boost::asio::any_io_executor &Executor, HostTable &Hosts,
                 const settings::Endpoint &Heartbeats, Callbacks Handlers);
  RegionExchange(const RegionExchange &) = delete;
  RegionExchange &operator=(const RegionExchange &) = delete;

  /// \returns false and fills \p Last if the address cannot be bound.
  bool open(base::Error &Last);

  /// Both run until the executor ends.
  boost::asio::awaitable<void> sendAll();
  boost::asio::awaitable<void> receiveAll();

  /// Sends an update now, in addition to the periodic ones.
  void sendNow(base::TimePoint Now);

private:
  void receive(std::string_view Text, const boost::asio::ip::address &Sender,
               base::TimePoint Now);

  HostTable &Hosts_;
  const settings::Endpoint Listen_;
  const Callbacks Callbacks_;
  const base::TimePoint StartedAt_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PacedSender Sender_;
  RegionAnnouncer Announcer_;
  std::array<char, MaxBytes> Buffer_{};
  std::uint64_t Sequence_ = 0;
};

} // namespace lychee::members

#endif
