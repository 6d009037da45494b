#include "gateway/Listener.h"

#include "gateway/ProblemDocument.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace lychee::gateway {

namespace {

/// Pause after a failed accept: out of descriptors, accept fails at once again
/// and again, and would take the thread from the callers it has.
constexpr std::chrono::milliseconds AcceptPause(20);
/// Connections beyond the limit while those whose places they take are closed.
constexpr std::uint32_t MostEvictions = 32;

} // namespace

Listener::Listener(std::span<const std::unique_ptr<Worker>> Workers)
    : Workers_(Workers), Acceptor_(Workers.front()->executor()) {}

bool Listener::open(const settings::Endpoint &At, base::Error &Failure) {
  ErrorCode Error;
  const auto Address = boost::asio::ip::make_address(At.Address_, Error);
  const Tcp::endpoint Where(Address, At.Port_);
  if (!Error)
    Acceptor_.open(Where.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(boost::asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Where, Error);
  if (!Error)
    Acceptor_.listen(boost::asio::socket_base::max_listen_connections, Error);
  if (Error) {
    Failure = {"gateway.listen", At.text(), Error.message()};
    return false;
  }
  Endpoint_ = {At.Address_, Acceptor_.local_endpoint().port()};
  return true;
}

void Listener::start() {
  boost::asio::co_spawn(Acceptor_.get_executor(), acceptCallers(),
                        boost::asio::detached);
}

Task<void> Listener::acceptCallers() {
  Timer Pause(Acceptor_.get_executor());
  while (Acceptor_.is_open()) {
    Worker &Next = *Workers_[Next_];
    auto [Error, Accepted] =
        co_await Acceptor_.async_accept(Next.executor(), Await);
    if (!Error) {
      hand(std::move(Accepted));
      continue;
    }
    if (!Acceptor_.is_open())
      co_return;
    Pause.expires_after(AcceptPause);
    co_await Pause.async_wait(Await);
  }
}

void Listener::hand(Socket Accepted) {
  Worker &Chosen = *Workers_[Next_];
  Next_ = (Next_ + 1) % Workers_.size();
  const std::uint32_t Open = Chosen.shared().Connections_;
  const std::uint32_t Limit = Chosen.shared().Settings_.ConnectionLimit_;
  if (Open >= Limit)
    Chosen.evictLongestWaiting();
  if (Open >= Limit + std::min(Limit / 8, MostEvictions)) {
    refuse(Accepted);
    return;
  }
  Chosen.serve(std::move(Accepted));
}

void Listener::refuse(Socket &Accepted) {
  ProblemDocument Problem;
  Problem.Status_ = 503;
  Problem.Reason_ = "too-many-connections";
  Problem.Detail_ = "This host has as many connections as it may.";
  Problem.RetryAfter_ = std::chrono::seconds(1);
  Problem.RequestId_ = Workers_.front()->makeRequestId().name();
  const std::string Text =
      Problem.render(Workers_.front()->shared().Settings_.Names_, false, false);
  // A new socket's buffer takes it whole, so this does not wait.
  ErrorCode Ignored;
  Accepted.non_blocking(true, Ignored);
  Accepted.write_some(boost::asio::buffer(Text), Ignored);
}

Task<void> Listener::close() {
  // Callers in the kernel's queue are connected as far as they can see.
  ErrorCode Error;
  Acceptor_.non_blocking(true, Error);
  while (!Error) {
    Socket Accepted = Acceptor_.accept(Workers_[Next_]->executor(), Error);
    if (!Error)
      hand(std::move(Accepted));
  }
  Acceptor_.close(Error);
  // An accept that had completed before hands its connection over now.
  co_await boost::asio::post(Acceptor_.get_executor(), Await);
}

} // namespace lychee::gateway
