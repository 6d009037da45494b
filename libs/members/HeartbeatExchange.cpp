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
                                     HostTable &Book, settings::Endpoint Listen,
                                     Callbacks Others)
    : Book_(Book), Listen_(std::move(Listen)), Others_(std::move(Others)),
      Socket_(Executor), Timer_(Executor), Sender_(Socket_, Listen_.Port_) {}

bool HeartbeatExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "heartbeat.listen", Last);
}

void HeartbeatExchange::sendNow(base::TimePoint Now) { say(true, true, Now); }

std::string HeartbeatExchange::textOf(Heartbeat Said, bool WithCard) {
  Said.Sender_ = Book_.self();
  Said.HasDescriptor_ = WithCard;
  Said.Sequence_ = ++Sequence_;
  std::string Whole = encodeHeartbeat(Said);
  if (Whole.size() <= MostBytes)
    return Whole;
  std::string Cut = encodeHeartbeat(Said, MostBytes);
  reporting::logLine(reporting::LogLevel::Warning,
                     base::KeyValueLine()
                         .add("event", "heartbeat-cut")
                         .add("bytes", Whole.size())
                         .add("sent", Cut.size()));
  return Cut;
}

void HeartbeatExchange::say(bool Whole, bool WithCard, base::TimePoint Now) {
  Sender_.send(textOf(Others_.Say_(Whole, WithCard, Now), WithCard),
               Book_.recipients(Now));
}

void HeartbeatExchange::sendFullTo(const std::string &Address,
                                   base::TimePoint Now) {
  Sender_.send(textOf(Others_.Answer_(Now), true), std::span(&Address, 1));
}

asio::awaitable<void> HeartbeatExchange::sendAll() {
  for (std::uint64_t Beat = 0;; ++Beat) {
    const bool IsFirst = Beat < FirstBeats;
    say(IsFirst || Beat % DemandDeltaEncoder::FullEvery == 0,
        IsFirst || Beat % CardEvery == 0, SystemClock::monotonicNow());
    Timer_.expires_after(Pace);
    co_await Timer_.async_wait(AsTuple);
  }
}

void HeartbeatExchange::take(std::string_view Text, base::TimePoint Now) {
  base::Error Unreadable;
  const std::optional<Heartbeat> Said = decodeHeartbeat(Text, Unreadable);
  if (Said)
    Others_.Hear_(*Said, Book_.receive(*Said, Now), Now);
}

asio::awaitable<void> HeartbeatExchange::receiveAll() {
  const std::function<void(std::string_view, const udp::endpoint &)> Take =
      [this](std::string_view Text, const udp::endpoint &) {
        take(Text, SystemClock::monotonicNow());
      };
  co_await receiveDatagrams(Socket_, Received_, Take);
}

} // namespace lychee::members
