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

/// Sends this host's heartbeat to all others of its region at a fixed interval,
/// and immediately where a change must not wait; receives theirs. \see
/// HostTable, RegionExchange
class HeartbeatExchange {
public:
  /// Look-ups must drop a dead host within seconds; \see HostTable::AliveFor.
  static constexpr std::chrono::milliseconds Interval{500};
  /// The host descriptor and the live peers are part of each of the first
  /// InitialHeartbeats heartbeats, and of every DescriptorEvery-th one after
  /// that, in case the store is unavailable. A host that has just started gets
  /// them immediately; \see sendFullTo.
  static constexpr std::uint64_t DescriptorEvery = 8;
  static constexpr std::uint64_t InitialHeartbeats = 4;
  /// A larger datagram would be split into more packets, each of which may be
  /// lost.
  static constexpr std::size_t MaxBytes = 8UL * 1024;

  struct Callbacks {
    /// \returns the heartbeat to send, without sender and sequence. Holds all
    /// demands if \p Full, and the live peers if \p WithDescriptor.
    std::function<Heartbeat(bool Full, bool WithDescriptor, base::TimePoint)>
        Compose_;
    /// \returns a heartbeat with all demands and live peers for a single host.
    /// It must not affect later deltas, because the other hosts did not receive
    /// it.
    std::function<Heartbeat(base::TimePoint)> ComposeFull_;
    /// Called for each received heartbeat. \p Changed is set if the host was
    /// not seen recently or changed.
    std::function<void(const Heartbeat &, bool Changed, base::TimePoint)>
        OnHeartbeat_;
  };

  /// \param Hosts must outlive this.
  /// \param Listen address for heartbeats; all hosts use its port.
  HeartbeatExchange(const boost::asio::any_io_executor &Executor,
                    HostTable &Hosts, settings::Endpoint Listen,
                    Callbacks Handlers);
  HeartbeatExchange(const HeartbeatExchange &) = delete;
  HeartbeatExchange &operator=(const HeartbeatExchange &) = delete;

  /// \returns false and fills \p Last if the address cannot be bound.
  bool open(base::Error &Last);

  /// Both run until the executor ends.
  boost::asio::awaitable<void> sendAll();
  boost::asio::awaitable<void> receiveAll();

  /// Sends a heartbeat to all hosts now, in addition to the periodic ones.
  void sendNow(base::TimePoint Now);

  /// Sends a full heartbeat to one host that has just started. Without it the
  /// host would not know this host's descriptor until the next heartbeat that
  /// carries it.
  void sendFullTo(const std::string &Address, base::TimePoint Now);

private:
  /// \returns the encoded heartbeat, shortened to fit into one datagram.
  std::string encode(Heartbeat Message, bool WithDescriptor);
  void receive(std::string_view Text, base::TimePoint Now);
  void send(bool Full, bool WithDescriptor, base::TimePoint Now);

  HostTable &Hosts_;
  const settings::Endpoint Listen_;
  const Callbacks Callbacks_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PacedSender Sender_;
  std::array<char, MaxBytes> Buffer_{};
  std::uint64_t Sequence_ = 0;
};

} // namespace lychee::members

#endif
