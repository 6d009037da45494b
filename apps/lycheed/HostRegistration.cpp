#include "lycheed/HostRegistration.h"

#include "lycheed/DaemonParts.h"
#include "platform/Names.h"
#include "reporting/Log.h"
#include "store/Backoff.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::daemon {

namespace asio = boost::asio;
using base::KeyValueLine;
using reporting::LogLevel;

asio::awaitable<void> HostRegistration::enter() {
  if (std::exchange(Entering_, true))
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  store::Backoff Pause;
  base::Random Random(drawSeed());
  while (true) {
    Json::Value Content;
    Content["address"] = Self_.Address_;
    Content["region"] = Self_.Region_.name();
    Content["start"] = Json::UInt64(Self_.Incarnation_);
    base::Error Last;
    const bool Written = co_await Store_.write(
        platform::HostKind, Self_.Host_.name(), Content, Last);
    if (Written) {
      Entering_ = false;
      co_return;
    }
    reporting::logLine(LogLevel::Warning, KeyValueLine()
                                              .add("event", "register-failed")
                                              .add("step", Last.Step_)
                                              .add("reason", Last.Reason_));
    Timer.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(
            Pause.next(Random)));
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> HostRegistration::leave() {
  base::Error Last;
  const bool Removed =
      co_await Store_.remove(platform::HostKind, Self_.Host_.name(), Last);
  if (!Removed)
    reporting::logLine(LogLevel::Warning, KeyValueLine()
                                              .add("event", "withdraw-failed")
                                              .add("reason", Last.Reason_));
}

} // namespace lychee::daemon
