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

constexpr const char *NewsPath = "/news";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;

} // namespace

RelayExchange::RelayExchange(const asio::any_io_executor &Executor,
                             RelayRole &Role, std::uint16_t Port,
                             Callbacks Others)
    : Executor_(Executor), Role_(Role), Port_(Port),
      Others_(std::move(Others)) {}

asio::awaitable<void> RelayExchange::pollAll() {
  asio::steady_timer Timer(Executor_);
  while (true) {
    dropUnasked();
    for (const std::string &Address : Role_.askers()) {
      std::shared_ptr<Peer> &Whom = Peers_[Address];
      if (!Whom)
        Whom.reset(new Peer{Address,
                            {Executor_, {.Address_ = Address, .Port_ = Port_}},
                            false});
      if (Whom->Pending_ ||
          !Role_.takeTurn(Address, SystemClock::monotonicNow()))
        continue;
      Whom->Pending_ = true;
      asio::co_spawn(Executor_, ask(Whom), asio::detached);
    }
    Timer.expires_after(Pace);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void RelayExchange::dropUnasked() {
  const std::vector<std::string> &Asked = Role_.askers();
  std::erase_if(Peers_, [&Asked](const auto &Each) {
    return !Each.second->Pending_ &&
           std::find(Asked.begin(), Asked.end(), Each.first) == Asked.end();
  });
}

asio::awaitable<void> RelayExchange::ask(std::shared_ptr<Peer> Whom) {
  transport::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = NewsPath;
  const base::TimePoint AskedAt = SystemClock::monotonicNow();
  Request.Body_ = encodeQuestion(Others_.Ask_(AskedAt));
  bool Sent = false;
  base::Error Last;
  const auto Answer = co_await Whom->Client_.exchange(
      std::move(Request), Timeout, "relay.ask", Sent, Last);
  Whom->Pending_ = false;
  if (Answer && Answer->Status_ != StatusOk)
    Last = {"relay.ask", Whom->Address_,
            "status " + std::to_string(Answer->Status_)};
  const auto Told = Answer && Answer->Status_ == StatusOk
                        ? decodeAnswer(Answer->Body_, Last)
                        : std::nullopt;
  if (!Told) {
    Others_.Trouble_(Whom->Address_, Last);
    co_return;
  }
  const base::TimePoint Now = SystemClock::monotonicNow();
  std::optional<base::TimePoint> Contact;
  if (Told->IsSynced_ && Told->ContactAge_)
    Contact = AskedAt - *Told->ContactAge_;
  Role_.noteAnswer(Whom->Address_, Contact, Now);
  Others_.Take_(*Told, AskedAt, Now);
}

transport::HttpAnswer RelayExchange::answer(const transport::HttpRequest &Asked,
                                            base::TimePoint Now) const {
  transport::HttpAnswer Answer;
  Answer.Status_ = StatusNotFound;
  if (Asked.Method_ != "POST" || Asked.Target_ != NewsPath)
    return Answer;
  base::Error Last;
  const auto Question = decodeQuestion(Asked.Body_, Last);
  Answer.Status_ = Question ? StatusOk : StatusBadRequest;
  Answer.Body_ = Question ? encodeAnswer(Others_.Answer_(*Question, Now))
                          : Last.describe();
  return Answer;
}

} // namespace lychee::relaying
