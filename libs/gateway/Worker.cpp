#include "gateway/Worker.h"

#include "base/SystemClock.h"
#include "gateway/CallerSession.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <memory>

namespace lychee::gateway {

namespace {

/// A decision on an abandoned ticket is under way between two threads for
/// microseconds; this long covers a thread that was paused.
constexpr base::Duration AbandonedMemory = std::chrono::seconds(30);
constexpr base::Duration ForgetPace = std::chrono::seconds(5);

Task<void> runSession(Worker &Home, CallerConnectionList &Callers,
                      Socket Accepted, ConnectionSlot /*Counted*/) {
  CallerSession Session(Home, std::move(Accepted));
  Callers.push_back(Session.connection());
  co_await Session.run();
}

} // namespace

Worker::Worker(GatewayState &Shared, std::uint32_t Index, std::uint64_t Seed)
    : Shared_(Shared), Index_(Index), Random_(Seed) {}

Worker::~Worker() {
  halt();
  join();
}

void Worker::start() {
  boost::asio::co_spawn(Context_, pace(), boost::asio::detached);
  Thread_ = std::thread([this] { Context_.run(); });
}

void Worker::halt() { Context_.stop(); }

void Worker::join() {
  if (Thread_.joinable())
    Thread_.join();
}

base::RequestId Worker::makeRequestId() {
  static constexpr char HexDigits[] = "0123456789abcdef";
  std::array<char, 16> Text{};
  std::uint64_t Number = Random_();
  for (char &Digit : Text) {
    Digit = HexDigits[Number & 0xf];
    Number >>= 4;
  }
  return base::RequestId(std::string_view(Text.data(), Text.size()));
}

void Worker::serve(Socket Accepted) {
  // An error that is not foreseen ends one connection, never the daemon.
  boost::asio::co_spawn(Context_,
                        runSession(*this, Callers_, std::move(Accepted),
                                   ConnectionSlot(Shared_.Connections_)),
                        [](const std::exception_ptr &) {});
}

void Worker::closeIdle(base::Duration IdleFor, base::TimePoint Now) {
  boost::asio::post(Context_, [this, Limit = Now - IdleFor] {
    ErrorCode Ignored;
    for (CallerConnection &Caller : Callers_)
      if (Caller.idleSince() <= Limit)
        Caller.socket().cancel(Ignored);
  });
}

void Worker::evictLongestWaiting() {
  boost::asio::post(Context_, [this] {
    CallerConnection *Longest = nullptr;
    for (CallerConnection &Caller : Callers_)
      if (!Caller.watch().fired() &&
          (Longest == nullptr ||
           Caller.waitingSince() < Longest->waitingSince()))
        Longest = &Caller;
    if (Longest != nullptr && Longest->waitingSince() != base::TimePoint::max())
      Longest->watch().fire(Watch::Cause::Evicted);
  });
}

void Worker::endAll(std::function<void(std::vector<CutRequest>)> Done) {
  boost::asio::post(Context_, [this, Done = std::move(Done)] {
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    std::vector<CutRequest> Cut;
    for (CallerConnection &Caller : Callers_) {
      auto Request = Caller.requestInProgress(Now);
      if (Request && Request->Stage_ != RequestStage::Waiting)
        Cut.push_back(std::move(*Request));
      Caller.watch().fire(Watch::Cause::Stopped);
    }
    Done(std::move(Cut));
  });
}

void Worker::resetAll() {
  boost::asio::post(Context_, [this] {
    for (CallerConnection &Caller : Callers_) {
      Caller.watch().fire(Watch::Cause::HungUp);
      Caller.close(true);
    }
  });
}

void Worker::deliver(std::vector<steering::Wakeup> &Woken,
                     base::TimePoint Now) {
  while (!Woken.empty()) {
    const auto Unwanted = Shared_.Waiting_.deliver(Woken);
    Woken.clear();
    for (const steering::Wakeup &Each : Unwanted)
      if (Each.Decision_.Action_ == steering::Decision::Action::Send)
        Shared_.Others_.Steering_.finish(
            Each.Ticket_, {.Outcome_ = steering::SendOutcome::Cancelled}, Now,
            Woken);
  }
}

Task<void> Worker::pace() {
  Timer Pace(Context_.get_executor());
  while (true) {
    Pace.expires_after(Watchdog::FinePace);
    co_await Pace.async_wait(Await);
    const base::TimePoint Now = base::SystemClock::monotonicNow();
    Watchdog_.sweep(Now);
    if (Index_ == 0)
      tickSteering(Now);
  }
}

void Worker::tickSteering(base::TimePoint Now) {
  if (Shared_.Waiting_.size() > 0) {
    std::vector<steering::Wakeup> Woken;
    Shared_.Others_.Steering_.tick(Now, Woken);
    deliver(Woken, Now);
  }
  Prober_.startDue(Now);
  if (Now < NextForget_)
    return;
  NextForget_ = Now + ForgetPace;
  Shared_.Waiting_.forgetAbandoned(Now - AbandonedMemory);
  for (TargetPools *Each : {&Shared_.Pools_, &Shared_.HostPools_})
    Each->closeOlderThan(Now - Shared_.Settings_.ReuseIdleLimit_);
}

} // namespace lychee::gateway
