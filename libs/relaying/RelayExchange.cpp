#include "relaying/RelayExchange.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::relaying {

namespace asio = boost::asio;
using base::SystemClock;

namespace {

constexpr const char *UpdatesPath = "/news";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;

} // namespace

RelayExchange::RelayExchange(const asio::any_io_executor &Executor,
                             RelayRole &Role, std::uint16_t Port,
                             Callbacks Handlers)
    : Executor_(Executor), Role_(Role), Port_(Port),
      Callbacks_(std::move(Handlers)) {}

asio::awaitable<void> RelayExchange::pollAll() {
  asio::steady_timer Timer(Executor_);
  while (true) {
    dropIdlePeers();
    for (const std::string &Address : Role_.readers()) {
      std::shared_ptr<Peer> &Reader = Peers_[Address];
      if (!Reader)
        Reader.reset(
            new Peer{Address,
                     {Executor_, {.Address_ = Address, .Port_ = Port_}},
                     false});
      if (Reader->Pending_ ||
          !Role_.tryPoll(Address, SystemClock::monotonicNow()))
        continue;
      Reader->Pending_ = true;
      asio::co_spawn(Executor_, poll(Reader), asio::detached);
    }
    Timer.expires_after(Interval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void RelayExchange::dropIdlePeers() {
  const std::vector<std::string> &Polled = Role_.readers();
  std::erase_if(Peers_, [&Polled](const auto &Entry) {
    return !Entry.second->Pending_ &&
           std::find(Polled.begin(), Polled.end(), Entry.first) == Polled.end();
  });
}

asio::awaitable<void> RelayExchange::poll(std::shared_ptr<Peer> Reader) {
  transport::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = UpdatesPath;
  const base::TimePoint SentAt = SystemClock::monotonicNow();
  Request.Body_ = encodeRequest(Callbacks_.BuildRequest_(SentAt));
  bool Sent = false;
  base::Error Last;
  const auto HttpResponse = co_await Reader->Client_.exchange(
      std::move(Request), Timeout, "relay.ask", Sent, Last);
  Reader->Pending_ = false;
  if (HttpResponse && HttpResponse->Status_ != StatusOk)
    Last = {"relay.ask", Reader->Address_,
            "status " + std::to_string(HttpResponse->Status_)};
  const auto Response = HttpResponse && HttpResponse->Status_ == StatusOk
                            ? decodeResponse(HttpResponse->Body_, Last)
                            : std::nullopt;
  if (!Response) {
    Callbacks_.OnFailure_(Reader->Address_, Last);
    co_return;
  }
  const base::TimePoint Now = SystemClock::monotonicNow();
  std::optional<base::TimePoint> Contact;
  if (Response->IsSynced_ && Response->ContactAge_)
    Contact = SentAt - *Response->ContactAge_;
  Role_.noteResponse(Reader->Address_, Contact, Now);
  Callbacks_.OnResponse_(*Response, SentAt, Now);
}

transport::HttpAnswer
RelayExchange::answer(const transport::HttpRequest &Request,
                      base::TimePoint Now) const {
  transport::HttpAnswer Answer;
  Answer.Status_ = StatusNotFound;
  if (Request.Method_ != "POST" || Request.Target_ != UpdatesPath)
    return Answer;
  base::Error Last;
  const auto Poll = decodeRequest(Request.Body_, Last);
  Answer.Status_ = Poll ? StatusOk : StatusBadRequest;
  Answer.Body_ = Poll ? encodeResponse(Callbacks_.BuildResponse_(*Poll, Now))
                      : Last.describe();
  return Answer;
}

} // namespace lychee::relaying
