#include "gateway/TargetProber.h"

#include "base/SystemClock.h"
#include "gateway/TargetAddress.h"
#include "gateway/Worker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace lychee::gateway {

namespace {

constexpr base::Duration AskInterval = std::chrono::milliseconds(50);
/// A connection that is refused after it was accepted is closed within a round
/// trip, of 40 ms between regions.
constexpr std::chrono::milliseconds SettlingTime(60);

/// \returns whether the connection is still open after SettlingTime.
Task<bool> staysOpen(const Executor &Home, Socket &Opened) {
  using boost::asio::experimental::awaitable_operators::operator||;
  Timer Settled(Home);
  Settled.expires_after(SettlingTime);
  const auto First = co_await (Opened.async_wait(Socket::wait_read, Await) ||
                               Settled.async_wait(Await));
  co_return First.index() == 1;
}

} // namespace

void TargetProber::startDue(base::TimePoint Now) {
  if (Now < NextAsk_ || !Home_.shared().isServing())
    return;
  NextAsk_ = Now + AskInterval;
  for (steering::TargetProbe &Each :
       Home_.shared().Others_.Steering_.probesDue(Now))
    boost::asio::co_spawn(Home_.executor(), probe(Home_, std::move(Each)),
                          boost::asio::detached);
}

Task<void> TargetProber::probe(Worker &Home, steering::TargetProbe Asked) {
  GatewayState &Shared = Home.shared();
  const std::shared_ptr<TargetPool> Pool = Shared.Pools_.at(Asked.Address_);
  std::unique_ptr<TargetConnection> Connection =
      Pool->make(Home.executor(), Home.index());
  const auto Where = parseTargetAddress(Asked.Address_);
  bool Connected = false;
  if (Connection && Where) {
    Watch Limit([&Connection] { Connection->close(); });
    Home.watchdog().watchFinely(Limit);
    Limit.expireAt(base::SystemClock::monotonicNow() +
                   Shared.Settings_.ConnectTimeout_);
    const ErrorCode Error =
        co_await Connection->open(*Where, Shared.Settings_.Source_);
    Connected = !Error && !Limit.fired();
    Limit.neverExpire();
    if (Connected)
      Connected = co_await staysOpen(Home.executor(), Connection->socket());
  }
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Shared.Others_.Steering_.recordProbe(Asked, Connected, Now);
  if (!Connected)
    co_return;
  Connection->showLife(Now);
  Pool->giveBack(std::move(Connection));
}

} // namespace lychee::gateway
