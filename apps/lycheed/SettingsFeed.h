#ifndef LYCHEE_APPS_LYCHEED_SETTINGSFEED_H
#define LYCHEE_APPS_LYCHEED_SETTINGSFEED_H

#include "operations/SettingsStore.h"
#include "settings/SettingsTree.h"
#include "store/Store.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>

namespace lychee::daemon {

/// Brings each new version of the settings from the store to this host, by one
/// waiting watch on the root. \see SettingsHolder
class SettingsFeed {
public:
  using Listener = std::function<void(const settings::SettingsTree &)>;

  SettingsFeed(store::Store &Kept, Listener Changed);
  SettingsFeed(const SettingsFeed &) = delete;
  SettingsFeed &operator=(const SettingsFeed &) = delete;

  /// Runs until stop().
  boost::asio::awaitable<void> run();
  void stop() noexcept { Stopped_ = true; }

private:
  boost::asio::awaitable<void> pause();

  store::Store &Store_;
  operations::SettingsStore Settings_;
  const Listener Changed_;
  std::atomic<bool> Stopped_ = false;
};

} // namespace lychee::daemon

#endif
