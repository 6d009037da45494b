#ifndef LYCHEE_APPS_LYCHEED_KEYCHECK_H
#define LYCHEE_APPS_LYCHEED_KEYCHECK_H

#include "gateway/Authenticator.h"
#include "lycheed/SettingsHolder.h"

#include <functional>

namespace lychee::daemon {

/// Checks a caller's key against the settings in force, on each request. Where
/// this host cannot know that its settings are fresh enough for withdrawn keys,
/// it refuses: the promise about keys is absolute. \see settings::KeyRing
class KeyCheck final : public gateway::Authenticator {
public:
  using FreshnessCheck = std::function<bool(base::TimePoint Now)>;

  KeyCheck(const SettingsHolder &Settings, FreshnessCheck IsFresh);

  gateway::Identity check(std::string_view Presented,
                          base::TimePoint Now) override;

private:
  const SettingsHolder &Settings_;
  const FreshnessCheck IsFresh_;
};

} // namespace lychee::daemon

#endif
