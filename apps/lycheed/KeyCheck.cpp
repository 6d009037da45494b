#include "lycheed/KeyCheck.h"

#include <utility>

namespace lychee::daemon {

namespace {

/// About the time that a new relay takes to bring fresh settings.
constexpr base::Duration StaleRetryAfter = std::chrono::seconds(2);

} // namespace

KeyCheck::KeyCheck(const SettingsHolder &Settings, FreshnessCheck IsFresh)
    : Settings_(Settings), IsFresh_(std::move(IsFresh)) {}

gateway::Identity KeyCheck::check(std::string_view Presented,
                                  base::TimePoint Now) {
  gateway::Identity Found;
  const std::shared_ptr<const SettingsSnapshot> Settings = Settings_.current();
  if (!Settings || !IsFresh_(Now)) {
    Found.Refusal_ = steering::Refusal::KeysStale;
    Found.RetryAfter_ = StaleRetryAfter;
    return Found;
  }
  Found.SettingsVersion_ = Settings->intent()->Version_;
  settings::KeyRefusal Why = settings::KeyRefusal::None;
  const auto Owner = Settings->keys().check(Presented, Why);
  if (!Owner) {
    Found.Refusal_ = Why == settings::KeyRefusal::Withdrawn
                         ? steering::Refusal::KeyWithdrawn
                         : steering::Refusal::UnknownKey;
    return Found;
  }
  Found.Refusal_ = steering::Refusal::None;
  Found.Customer_ = Owner->Customer_;
  Found.Key_ = Owner->Key_;
  return Found;
}

} // namespace lychee::daemon
