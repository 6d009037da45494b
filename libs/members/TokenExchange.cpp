#include "members/TokenExchange.h"

#include "base/SystemClock.h"
#include "members/DatagramSocket.h"

namespace lychee::members {

namespace asio = boost::asio;
using asio::ip::udp;
using base::SystemClock;

TokenExchange::TokenExchange(const asio::any_io_executor &Executor,
                             settings::Endpoint Listen, std::uint64_t Start,
                             Callbacks Others)
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
  const std::function<void(std::string_view, const udp::endpoint &)> Take =
      [this](std::string_view Text, const udp::endpoint &Sender) {
        base::Error Unreadable;
        if (const auto Said = decodeTokenMessage(Text, Unreadable))
          take(*Said, Sender);
      };
  co_await receiveDatagrams(Socket_, Received_, Take);
}

} // namespace lychee::members
