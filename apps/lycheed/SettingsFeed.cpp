#include "lycheed/SettingsFeed.h"

#include "reporting/Log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace lychee::daemon {

namespace asio = boost::asio;

namespace {

constexpr base::Duration WatchWait = std::chrono::seconds(20);
constexpr base::Duration RetryPause = std::chrono::milliseconds(500);

void tellWhy(const base::Error &Last) {
  reporting::logLine(reporting::LogLevel::Warning,
                     base::KeyValueLine()
                         .add("event", "settings-not-read")
                         .add("step", Last.Step_)
                         .add("peer", Last.Peer_)
                         .add("reason", Last.Reason_));
}

} // namespace

SettingsFeed::SettingsFeed(store::Store &Kept, Listener Changed)
    : Store_(Kept), Settings_(Kept, operations::SettingsStore::DefaultPatience),
      Changed_(std::move(Changed)) {}

asio::awaitable<void> SettingsFeed::pause() {
  asio::steady_timer Timer(co_await asio::this_coro::executor, RetryPause);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> SettingsFeed::run() {
  std::uint64_t Known = 0;
  while (!Stopped_) {
    base::Error Last;
    const auto Root = co_await Store_.watch(settings::SettingsRoot::Path, Known,
                                            WatchWait, Last);
    if (!Root) {
      tellWhy(Last);
      co_await pause();
      continue;
    }
    if (Root->Version_ <= Known)
      continue;
    const auto Loaded = co_await Settings_.load(Last);
    if (!Loaded) {
      tellWhy(Last);
      co_await pause();
      continue;
    }
    Known = Loaded->StoreVersion_;
    Changed_(Loaded->Tree_);
  }
}

} // namespace lychee::daemon
