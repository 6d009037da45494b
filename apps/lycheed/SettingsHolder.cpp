#include "lycheed/SettingsHolder.h"

#include <utility>

namespace lychee::daemon {

SettingsHolder::SettingsHolder(base::RegionId Home) : Home_(std::move(Home)) {}

std::shared_ptr<const SettingsSnapshot> SettingsHolder::current() const {
  const std::scoped_lock Guard(Lock_);
  return Current_;
}

std::shared_ptr<const SettingsSnapshot>
SettingsHolder::offer(const settings::SettingsTree &Tree,
                      settings::Problems &Found) {
  const std::shared_ptr<const SettingsSnapshot> Before = current();
  if (Before && Tree.Version_ <= Before->intent()->Version_)
    return nullptr;
  std::optional<settings::Intent> Parsed = settings::parseIntent(Tree, Found);
  if (!Parsed)
    return nullptr;
  auto Fresh = std::make_shared<const SettingsSnapshot>(
      std::make_shared<const settings::Intent>(std::move(*Parsed)), Home_,
      Before.get());
  const std::scoped_lock Guard(Lock_);
  if (Current_ && Current_->intent()->Version_ >= Tree.Version_)
    return nullptr;
  Current_ = Fresh;
  return Fresh;
}

} // namespace lychee::daemon
