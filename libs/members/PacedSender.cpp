#include "members/PacedSender.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"
#include "reporting/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::members {

namespace asio = boost::asio;

PacedSender::PacedSender(asio::ip::udp::socket &Socket, std::uint16_t Port)
    : Socket_(Socket), Port_(Port), Timer_(Socket.get_executor()) {}

void PacedSender::send(std::string Text,
                       std::span<const std::string> Receivers) {
  if (Text.empty() || Receivers.empty())
    return;
  const auto Shared = std::make_shared<const std::string>(std::move(Text));
  for (const std::string &Receiver : Receivers)
    Queue_.push_back({Shared, Receiver});
  std::size_t Dropped = 0;
  for (; Queue_.size() > MaxQueued; ++Dropped)
    Queue_.pop_front();
  if (Dropped > 0)
    reporting::logLine(reporting::LogLevel::Warning,
                       base::KeyValueLine()
                           .add("event", "datagrams-dropped")
                           .add("count", Dropped));
  sendAllowed();
  if (Queue_.empty() || Sending_)
    return;
  Sending_ = true;
  asio::co_spawn(Socket_.get_executor(), drainQueue(), asio::detached);
}

void PacedSender::sendAllowed() {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  while (!Queue_.empty() &&
         Limiter_.tryAcquire(Queue_.front().Text_->size(), Now)) {
    sendDatagram(Socket_, *Queue_.front().Text_, Queue_.front().Receiver_,
                 Port_);
    Queue_.pop_front();
  }
}

asio::awaitable<void> PacedSender::drainQueue() {
  while (!Queue_.empty()) {
    Timer_.expires_after(SendInterval);
    co_await Timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    sendAllowed();
  }
  Sending_ = false;
}

} // namespace lychee::members
