#include "members/RegionExchange.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;
using base::SystemClock;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

settings::Endpoint nextPort(settings::Endpoint Heartbeats) {
  ++Heartbeats.Port_;
  return Heartbeats;
}

} // namespace

RegionExchange::RegionExchange(const asio::any_io_executor &Executor,
                               HostTable &Hosts,
                               const settings::Endpoint &Heartbeats,
                               Callbacks Handlers)
    : Hosts_(Hosts), Listen_(nextPort(Heartbeats)),
      Callbacks_(std::move(Handlers)), StartedAt_(SystemClock::monotonicNow()),
      Socket_(Executor), Timer_(Executor), Sender_(Socket_, Listen_.Port_) {}

bool RegionExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "region-news.listen", Last);
}

void RegionExchange::sendNow(base::TimePoint Now) {
  if (!Hosts_.isRepresentative(Callbacks_.IsLeaving_(), Now - StartedAt_, Now))
    return;
  RegionUpdate Update;
  Update.Region_ = Hosts_.self().Region_;
  Update.Representative_ = Hosts_.self().Host_;
  Update.Incarnation_ = Hosts_.self().Incarnation_;
  Update.Sequence_ = ++Sequence_;
  Update.Summary_ =
      Announcer_.select(Hosts_.summary(Callbacks_.Summarize_(Now), Now));
  Sender_.send(encodeRegionUpdate(Update), Hosts_.remoteRepresentatives(Now));
}

asio::awaitable<void> RegionExchange::sendAll() {
  while (true) {
    sendNow(SystemClock::monotonicNow());
    Timer_.expires_after(Interval);
    co_await Timer_.async_wait(AsTuple);
  }
}

void RegionExchange::receive(std::string_view Text,
                             const asio::ip::address &Sender,
                             base::TimePoint Now) {
  base::Error Ignored;
  const std::optional<RegionUpdate> Update = decodeRegionUpdate(Text, Ignored);
  if (!Update || !Hosts_.receiveUpdate(*Update, Now))
    return;
  Callbacks_.OnUpdate_(*Update, Now);
  Sender_.send(std::string(Text),
               Hosts_.forwardRecipients(Sender.to_string(),
                                        Callbacks_.IsLeaving_(), Now));
}

asio::awaitable<void> RegionExchange::receiveAll() {
  const std::function<void(std::string_view, const udp::endpoint &)>
      OnDatagram = [this](std::string_view Text, const udp::endpoint &Sender) {
        receive(Text, Sender.address(), SystemClock::monotonicNow());
      };
  co_await receiveDatagrams(Socket_, Buffer_, OnDatagram);
}

} // namespace lychee::members
