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
                               HostTable &Book,
                               const settings::Endpoint &Heartbeats,
                               Callbacks Others)
    : Book_(Book), Listen_(nextPort(Heartbeats)), Others_(std::move(Others)),
      Begun_(SystemClock::monotonicNow()), Socket_(Executor), Timer_(Executor),
      Sender_(Socket_, Listen_.Port_) {}

bool RegionExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "region-news.listen", Last);
}

void RegionExchange::sendNow(base::TimePoint Now) {
  if (!Book_.isSpeaker(Others_.IsLeaving_(), Now - Begun_, Now))
    return;
  RegionUpdate Said;
  Said.Region_ = Book_.self().Region_;
  Said.Speaker_ = Book_.self().Host_;
  Said.Start_ = Book_.self().Incarnation_;
  Said.Sequence_ = ++Sequence_;
  Said.Summary_ = Teller_.tell(Book_.summary(Others_.Say_(Now), Now));
  Sender_.send(encodeRegionNews(Said), Book_.farSpeakers(Now));
}

asio::awaitable<void> RegionExchange::sendAll() {
  while (true) {
    sendNow(SystemClock::monotonicNow());
    Timer_.expires_after(Pace);
    co_await Timer_.async_wait(AsTuple);
  }
}

void RegionExchange::take(std::string_view Text,
                          const asio::ip::address &Sender,
                          base::TimePoint Now) {
  base::Error Unreadable;
  const std::optional<RegionUpdate> Said = decodeRegionNews(Text, Unreadable);
  if (!Said || !Book_.heardNews(*Said, Now))
    return;
  Others_.Hear_(*Said, Now);
  Sender_.send(std::string(Text),
               Book_.passOnTo(Sender.to_string(), Others_.IsLeaving_(), Now));
}

asio::awaitable<void> RegionExchange::receiveAll() {
  const std::function<void(std::string_view, const udp::endpoint &)> Take =
      [this](std::string_view Text, const udp::endpoint &Sender) {
        take(Text, Sender.address(), SystemClock::monotonicNow());
      };
  co_await receiveDatagrams(Socket_, Received_, Take);
}

} // namespace lychee::members
