#include "gateway/CallerSession.h"

#include "base/SystemClock.h"
#include "gateway/Exchange.h"
#include "gateway/ProblemDocument.h"
#include "gateway/Worker.h"

#include <array>

namespace lychee::gateway {

namespace {

/// A caller that still sends while its refusal is on the way would get a reset
/// that wipes the refusal out of its buffers. Reading on for a while lets it
/// see the refusal; a caller that sends more than this is cut.
constexpr std::size_t LingerBytes = 256UL * 1024;
constexpr base::Duration LingerTime = std::chrono::seconds(2);

ProblemDocument unreadProblem(ReadEnd End, bool TimedOut) {
  ProblemDocument Made;
  Made.Ran_ = steering::Ran::No;
  Made.Status_ = 400;
  Made.Reason_ = "malformed-request";
  Made.Detail_ = "The head of the request is not well formed.";
  if (TimedOut) {
    Made.Status_ = 408;
    Made.Reason_ = "request-timeout";
    Made.Detail_ = "The head of the request took too long.";
  } else if (End == ReadEnd::HeadTooLarge) {
    Made.Status_ = 431;
    Made.Reason_ = "head-too-large";
    Made.Detail_ = "The head of the request is over the limit.";
  } else if (End == ReadEnd::BodyTooLarge) {
    Made.Status_ = 413;
    Made.Reason_ = "body-too-large";
    Made.Detail_ = "The body of the request is over the limit.";
  }
  return Made;
}

} // namespace

CallerSession::CallerSession(Worker &Home, Socket Accepted)
    : Home_(Home), Caller_(std::move(Accepted)) {}

Task<void> CallerSession::run() {
  bool GoesOn = true;
  while (GoesOn) {
    GoesOn = co_await waitForRequest();
    if (GoesOn)
      GoesOn = co_await serveOne();
  }
  const bool IsEvicted = Caller_.watch().cause() == Watch::Cause::Evicted;
  if (Caller_.hasUnreadBytes() && !IsEvicted)
    co_await linger();
  Caller_.close(false);
}

Task<bool> CallerSession::waitForRequest() {
  const base::TimePoint Now = base::SystemClock::monotonicNow();
  Watch &Bound = Caller_.watch();
  Bound.rearm();
  Caller_.markWaiting(Now);
  Bound.watchHangUp(-1);
  Bound.expireAt(Now + Home_.shared().idleTimeout());
  Home_.watchdog().watchCoarsely(Bound);
  if (Caller_.buffer().size() > 0)
    co_return true;
  Caller_.markIdle(Now);
  // Most connections are idle most of the time; one that waits with a buffer
  // in hand keeps 8 KB, or 64 KB after an upload.
  Caller_.buffer().shrink_to_fit();
  const auto [WaitFailure] = co_await Caller_.socket().async_wait(
      boost::asio::socket_base::wait_read, Await);
  // A request may have come in the moment in which the wait was ended.
  if (WaitFailure && !Caller_.hasUnreadBytes())
    co_return false;
  constexpr std::size_t FirstReadBytes = 8UL * 1024;
  const auto [Error, Count] = co_await Caller_.socket().async_read_some(
      Caller_.buffer().prepare(FirstReadBytes), Await);
  Caller_.markBusy();
  if (Error)
    co_return false;
  Caller_.buffer().commit(Count);
  co_return true;
}

Task<bool> CallerSession::serveOne() {
  Caller_.watch().rearm();
  Caller_.watch().expireAt(base::SystemClock::monotonicNow() +
                           Home_.shared().headerTimeout());
  RequestReader Reader(Caller_.socket(), Caller_.buffer(), Caller_.watch(),
                       Home_.shared().callerLimits());
  const ReadEnd End = co_await Reader.readHead();
  if (End != ReadEnd::Ok) {
    co_await refuseUnread(End);
    co_return false;
  }
  Exchange Served(Home_, Caller_, Reader);
  const Ending Ending = co_await Served.run();
  if (Ending == Ending::Linger)
    co_await linger();
  if (Ending == Ending::Reset)
    Caller_.close(true);
  co_return Ending == Ending::KeepAlive;
}

Task<void> CallerSession::refuseUnread(ReadEnd End) {
  const bool TimedOut = Caller_.watch().cause() == Watch::Cause::Expired;
  if (End == ReadEnd::Closed || (End == ReadEnd::Cut && !TimedOut))
    co_return;
  ProblemDocument Problem = unreadProblem(End, TimedOut);
  Problem.RequestId_ = Home_.makeRequestId().name();
  const std::string Text =
      Problem.render(Home_.shared().Settings_.Names_, false, false);
  Caller_.watch().rearm();
  Caller_.watch().expireAt(base::SystemClock::monotonicNow() + LingerTime);
  const std::array Pieces{boost::asio::const_buffer(Text.data(), Text.size())};
  const bool Written = co_await Caller_.write(Pieces);
  if (Written)
    co_await linger();
}

Task<void> CallerSession::linger() {
  ErrorCode Ignored;
  Caller_.socket().shutdown(Socket::shutdown_send, Ignored);
  Caller_.watch().rearm();
  Caller_.watch().watchHangUp(-1);
  Caller_.watch().expireAt(base::SystemClock::monotonicNow() + LingerTime);
  Caller_.buffer().clear();
  Caller_.buffer().shrink_to_fit();
  std::array<char, 8192> Unwanted{};
  std::size_t Total = 0;
  while (Total < LingerBytes) {
    const auto [Error, Count] = co_await Caller_.socket().async_read_some(
        boost::asio::buffer(Unwanted), Await);
    if (Error || Caller_.watch().fired())
      co_return;
    Total += Count;
  }
}

} // namespace lychee::gateway
