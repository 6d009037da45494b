#include "members/TokenExchange.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;
using base::SystemClock;

TokenExchange::TokenExchange(const asio::any_io_executor &Executor,
                             settings::Endpoint Listen,
                             std::uint64_t Incarnation, Callbacks Handlers)
    : Listen_(std::move(Listen)), Incarnation_(Incarnation),
      Callbacks_(std::move(Handlers)), Socket_(Executor) {}

bool TokenExchange::open(base::Error &Last) {
  return openDatagramSocket(Socket_, Listen_, "token.listen", Last);
}

void TokenExchange::send(const TokenMessage &Message,
                         const udp::endpoint &Receiver) {
  boost::system::error_code Ignored;
  // A datagram that cannot be sent counts as lost; the requester asks again.
  Socket_.send_to(asio::buffer(encodeTokenMessage(Message)), Receiver, 0,
                  Ignored);
}

void TokenExchange::sendTo(const std::string &Address,
                           const TokenMessage &Message) {
  boost::system::error_code Failure;
  const auto Receiver = asio::ip::make_address(Address, Failure);
  if (!Failure)
    send(Message, {Receiver, Listen_.Port_});
}

void TokenExchange::ask(const std::string &Address, std::uint64_t Ticket,
                        const TokenRequest &Wanted) {
  sendTo(Address, {Incarnation_, Ticket, Wanted, std::nullopt});
}

void TokenExchange::refund(const std::string &Address,
                           const base::CustomerId &Customer) {
  sendTo(Address, {Incarnation_, 0, {}, std::nullopt, Customer});
}

void TokenExchange::handle(const TokenMessage &Message,
                           const udp::endpoint &Sender) {
  const base::TimePoint Now = SystemClock::monotonicNow();
  if (Message.Refunded_)
    Callbacks_.OnRefund_(*Message.Refunded_);
  else if (!Message.Wanted_.empty())
    send({Message.Incarnation_,
          Message.Ticket_,
          {},
          Callbacks_.TakeToken_(Message.Wanted_, Now)},
         Sender);
  else if (Message.Incarnation_ == Incarnation_)
    Callbacks_.OnAnswer_(Message.Ticket_, Message.Wait_, Now);
}

asio::awaitable<void> TokenExchange::receiveAll() {
  const std::function<void(std::string_view, const udp::endpoint &)>
      OnDatagram = [this](std::string_view Text, const udp::endpoint &Sender) {
        base::Error Unused;
        if (const auto Message = decodeTokenMessage(Text, Unused))
          handle(*Message, Sender);
      };
  co_await receiveDatagrams(Socket_, Buffer_, OnDatagram);
}

} // namespace lychee::members
