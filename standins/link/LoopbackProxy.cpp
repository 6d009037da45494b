#include "link/LoopbackProxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace lychee::standins {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// How often a held piece looks whether the cut has healed.
constexpr std::chrono::milliseconds HealPace(20);
constexpr std::size_t PieceBytes = 16UL * 1024;

asio::ip::tcp::endpoint endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))};
}

} // namespace

LoopbackProxy::LoopbackProxy(const std::string &Listen, const std::string &Far)
    : Far_(endpointOf(Far)), Acceptor_(Context_, endpointOf(Listen)) {
  asio::co_spawn(Context_, accept(), asio::detached);
  Thread_ = std::thread([this] { Context_.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  Context_.stop();
  Thread_.join();
}

void LoopbackProxy::setFaults(const LinkFaults &Set) {
  const std::lock_guard Guard(Lock_);
  Faults_ = Set;
}

LinkFaults LoopbackProxy::faults() const {
  const std::lock_guard Guard(Lock_);
  return Faults_;
}

void LoopbackProxy::reset(Link &Both) {
  boost::system::error_code Ignored;
  for (Tcp::socket *Each : {&Both.Near_, &Both.Far_}) {
    Each->set_option(asio::socket_base::linger(true, 0), Ignored);
    Each->close(Ignored);
  }
}

void LoopbackProxy::resetAll() {
  asio::post(Context_, [this] {
    for (const std::weak_ptr<Link> &Each : Links_)
      if (const auto Both = Each.lock())
        reset(*Both);
    Links_.clear();
  });
}

asio::awaitable<void> LoopbackProxy::accept() {
  while (true) {
    auto Both = std::make_shared<Link>(Context_);
    const auto [Failure] =
        co_await Acceptor_.async_accept(Both->Near_, AsTuple);
    if (Failure)
      co_return;
    if (faults().Refuses_)
      continue;
    std::erase_if(Links_, [](const auto &Each) { return Each.expired(); });
    Links_.push_back(Both);
    serve(Both);
  }
}

void LoopbackProxy::serve(const std::shared_ptr<Link> &Both) {
  Both->Far_.async_connect(
      Far_, [this, Both](const boost::system::error_code &Failure) {
        if (Failure) {
          reset(*Both);
          return;
        }
        asio::co_spawn(Context_, pump(Both, true), asio::detached);
        asio::co_spawn(Context_, pump(Both, false), asio::detached);
      });
}

asio::awaitable<void> LoopbackProxy::hold(bool Forth) {
  asio::steady_timer Timer(Context_);
  LinkFaults Set = faults();
  if (Set.Delay_ > base::Duration::zero()) {
    Timer.expires_after(
        std::chrono::duration_cast<std::chrono::milliseconds>(Set.Delay_));
    co_await Timer.async_wait(AsTuple);
  }
  while (Forth ? Set.CutForth_ : Set.CutBack_) {
    Timer.expires_after(HealPace);
    co_await Timer.async_wait(AsTuple);
    Set = faults();
  }
}

asio::awaitable<void> LoopbackProxy::pump(std::shared_ptr<Link> Both,
                                          bool Forth) {
  Tcp::socket &From = Forth ? Both->Near_ : Both->Far_;
  Tcp::socket &To = Forth ? Both->Far_ : Both->Near_;
  std::array<char, PieceBytes> Piece{};
  while (true) {
    const auto [ReadFailure, Count] =
        co_await From.async_read_some(asio::buffer(Piece), AsTuple);
    co_await hold(Forth);
    boost::system::error_code Ignored;
    if (ReadFailure == asio::error::eof) {
      To.shutdown(Tcp::socket::shutdown_send, Ignored);
      co_return;
    }
    if (ReadFailure) {
      reset(*Both);
      co_return;
    }
    const auto [WriteFailure, Written] =
        co_await asio::async_write(To, asio::buffer(Piece, Count), AsTuple);
    if (WriteFailure) {
      reset(*Both);
      co_return;
    }
  }
}

} // namespace lychee::standins
