#include "standins/target/TargetServer.h"

#include "base/Hash.h"

#include "standins/target/TargetSession.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lychee::standins::target {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> runSession(TargetServer &Server, Tcp::socket Accepted) {
  TargetSession Session(Server, std::move(Accepted));
  co_await Session.run();
}

} // namespace

TargetServer::TargetServer(const TargetSettings &Settings)
    : Settings_(Settings) {}

TargetServer::~TargetServer() {
  stop();
  join();
}

void TargetServer::listen(std::uint16_t Port) {
  const Tcp::endpoint Where(asio::ip::make_address(Settings_.Address_), Port);
  Acceptor_ = Tcp::acceptor(Context_, Where);
  Port_ = Acceptor_.local_endpoint().port();
  asio::co_spawn(Context_, accept(), asio::detached);
}

void TargetServer::start() {
  listen(Settings_.Port_);
  Thread_ = std::thread([this] { Context_.run(); });
}

void TargetServer::stop() { Context_.stop(); }

void TargetServer::join() {
  if (Thread_.joinable())
    Thread_.join();
}

std::string TargetServer::address() const {
  return Settings_.Address_ + ":" + std::to_string(Port_);
}

asio::awaitable<void> TargetServer::accept() {
  while (Acceptor_.is_open()) {
    auto [Error, Accepted] = co_await Acceptor_.async_accept(Await);
    if (Error)
      co_return;
    Accepted.set_option(Tcp::no_delay(true), Error);
    ++Made_;
    asio::co_spawn(Context_, runSession(*this, std::move(Accepted)),
                   asio::detached);
  }
}

void TargetServer::setFaults(const Faults &Set) {
  const std::lock_guard Guard(Lock_);
  const bool SilenceNow = Set.Silent_ && !Faults_.Silent_;
  Faults_ = Set;
  if (SilenceNow)
    asio::post(Context_, [this] {
      for (TargetSession *Each : Sessions_)
        Each->silence();
    });
}

Faults TargetServer::faults() const {
  const std::lock_guard Guard(Lock_);
  return Faults_;
}

asio::awaitable<bool> TargetServer::takeSlot() {
  if (Running_ < Settings_.Slots_) {
    ++Running_;
    co_return true;
  }
  if (Waiting_ >= Settings_.QueueLimit_)
    co_return false;
  asio::steady_timer Turn(Context_, asio::steady_timer::time_point::max());
  Queue_.push_back(&Turn);
  ++Waiting_;
  co_await Turn.async_wait(Await);
  --Waiting_;
  co_return true;
}

std::uint64_t TargetServer::runPercent(base::TimePoint Now) const {
  constexpr std::uint64_t Usual = 100;
  const auto Span = static_cast<std::uint64_t>(Now.time_since_epoch() /
                                               TargetSettings::SlowSpan);
  const bool IsSlow =
      Settings_.HasSlowSpans_ &&
      base::stableHash(Settings_.Name_, Span) % TargetSettings::SlowOneIn == 0;
  return IsSlow ? TargetSettings::SlowPercent : Usual;
}

std::string TargetServer::describeLoad(base::TimePoint Now) const {
  return std::to_string(Running_) + "," + std::to_string(Waiting_) + "," +
         std::to_string(Settings_.Slots_) + "," +
         std::to_string(runPercent(Now));
}

void TargetServer::freeSlot() {
  if (Queue_.empty()) {
    --Running_;
    return;
  }
  // The slot goes to the one that has waited longest.
  Queue_.front()->cancel();
  Queue_.pop_front();
}

void TargetServer::crash() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  for (TargetSession *Each : Sessions_)
    Each->close();
  Reopen_.expires_after(faults().RefuseFor_);
  Reopen_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      listen(Port_);
  });
}

} // namespace lychee::standins::target
