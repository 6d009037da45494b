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
  for (const std::string &Each : Receivers)
    Waiting_.push_back({Shared, Each});
  std::size_t Dropped = 0;
  for (; Waiting_.size() > MostWaiting; ++Dropped)
    Waiting_.pop_front();
  if (Dropped > 0)
    reporting::logLine(reporting::LogLevel::Warning,
                       base::KeyValueLine()
                           .add("event", "datagrams-dropped")
                           .add("count", Dropped));
  sendSome();
  if (Waiting_.empty() || Sending_)
    return;
  Sending_ = true;
  asio::co_spawn(Socket_.get_executor(), sendRest(), asio::detached);
}

void PacedSender::sendSome() {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  while (!Waiting_.empty() && Pace_.take(Waiting_.front().Text_->size(), Now)) {
    sendDatagram(Socket_, *Waiting_.front().Text_, Waiting_.front().Receiver_,
                 Port_);
    Waiting_.pop_front();
  }
}

asio::awaitable<void> PacedSender::sendRest() {
  while (!Waiting_.empty()) {
    Timer_.expires_after(Pause);
    co_await Timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    sendSome();
  }
  Sending_ = false;
}

} // namespace lychee::members
