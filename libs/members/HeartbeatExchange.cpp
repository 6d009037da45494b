#include "members/HeartbeatExchange.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"
#include "members/DemandDeltaEncoder.h"
#include "reporting/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;
using base::SystemClock;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

HeartbeatExchange::HeartbeatExchange(const asio::any_io_executor &Executor,
                                     HostTable &Hosts,
                                     settings::Endpoint Listen,
                                     Callbacks Handlers)
    : Hosts_(Hosts), Listen_(std::move(Listen)),
      Callbacks_(std::move(Handlers)), Socket_(Executor), Timer_(Executor),
      Sender_(Socket_, Listen_.Port_) {}

bool HeartbeatExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "heartbeat.listen", Last);
}

void HeartbeatExchange::sendNow(base::TimePoint Now) { send(true, true, Now); }

std::string HeartbeatExchange::encode(Heartbeat Message, bool WithDescriptor) {
  Message.Sender_ = Hosts_.self();
  Message.HasDescriptor_ = WithDescriptor;
  Message.Sequence_ = ++Sequence_;
  std::string Full = encodeHeartbeat(Message);
  if (Full.size() <= MaxBytes)
    return Full;
  std::string Shortened = encodeHeartbeat(Message, MaxBytes);
  reporting::logLine(reporting::LogLevel::Warning,
                     base::KeyValueLine()
                         .add("event", "heartbeat-cut")
                         .add("bytes", Full.size())
                         .add("sent", Shortened.size()));
  return Shortened;
}

void HeartbeatExchange::send(bool Full, bool WithDescriptor,
                             base::TimePoint Now) {
  Sender_.send(
      encode(Callbacks_.Compose_(Full, WithDescriptor, Now), WithDescriptor),
      Hosts_.recipients(Now));
}

void HeartbeatExchange::sendFullTo(const std::string &Address,
                                   base::TimePoint Now) {
  Sender_.send(encode(Callbacks_.ComposeFull_(Now), true),
               std::span(&Address, 1));
}

asio::awaitable<void> HeartbeatExchange::sendAll() {
  for (std::uint64_t Beat = 0;; ++Beat) {
    const bool IsInitial = Beat < InitialHeartbeats;
    send(IsInitial || Beat % DemandDeltaEncoder::FullEvery == 0,
         IsInitial || Beat % DescriptorEvery == 0, SystemClock::monotonicNow());
    Timer_.expires_after(Interval);
    co_await Timer_.async_wait(AsTuple);
  }
}

void HeartbeatExchange::receive(std::string_view Text, base::TimePoint Now) {
  base::Error Ignored;
  const std::optional<Heartbeat> Message = decodeHeartbeat(Text, Ignored);
  if (Message)
    Callbacks_.OnHeartbeat_(*Message, Hosts_.receive(*Message, Now), Now);
}

asio::awaitable<void> HeartbeatExchange::receiveAll() {
  const std::function<void(std::string_view, const udp::endpoint &)>
      OnDatagram = [this](std::string_view Text, const udp::endpoint &) {
        receive(Text, SystemClock::monotonicNow());
      };
  co_await receiveDatagrams(Socket_, Buffer_, OnDatagram);
}

} // namespace lychee::members
