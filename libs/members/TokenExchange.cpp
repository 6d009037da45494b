#include "members/TokenExchange.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;
using base::SystemClock;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// A receive that fails at once again and again must not take the processor.
constexpr std::chrono::milliseconds FailurePause(50);

} // namespace

TokenExchange::TokenExchange(const asio::any_io_executor &Executor,
                             settings::Endpoint Listen, std::uint64_t Start,
                             Parts Others)
    : Listen_(std::move(Listen)), Start_(Start), Others_(std::move(Others)),
      Socket_(Executor) {}

bool TokenExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "token.listen", Last);
}

void TokenExchange::send(const TokenMessage &Said,
                         const udp::endpoint &Receiver) {
  boost::system::error_code Ignored;
  // One that does not go out is one that was lost: who asked asks once more.
  Socket_.send_to(asio::buffer(encodeTokenMessage(Said)), Receiver, 0, Ignored);
}

void TokenExchange::ask(const std::string &Address, std::uint64_t Ticket,
                        const base::CustomerId &Customer) {
  boost::system::error_code Failure;
  const auto Receiver = asio::ip::make_address(Address, Failure);
  if (!Failure)
    send({Start_, Ticket, Customer, std::nullopt}, {Receiver, Listen_.Port_});
}

void TokenExchange::take(const TokenMessage &Said,
                         const udp::endpoint &Sender) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  if (!Said.Customer_.empty())
    send({Said.Start_, Said.Ticket_, {}, Others_.Give_(Said.Customer_, Now)},
         Sender);
  else if (Said.Start_ == Start_)
    Others_.Hear_(Said.Ticket_, Said.Wait_, Now);
}

asio::awaitable<void> TokenExchange::receiveAll() {
  asio::steady_timer Pause(Socket_.get_executor());
  while (true) {
    udp::endpoint Sender;
    const auto [Failure, Count] = co_await Socket_.async_receive_from(
        asio::buffer(Received_), Sender, AsTuple);
    if (Failure) {
      Pause.expires_after(FailurePause);
      co_await Pause.async_wait(AsTuple);
      continue;
    }
    base::Error Unreadable;
    if (const auto Said =
            decodeTokenMessage({Received_.data(), Count}, Unreadable))
      take(*Said, Sender);
  }
}

} // namespace lychee::members
