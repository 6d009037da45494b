#include "lycheed/IntentRouter.h"

#include <algorithm>

namespace lychee::daemon {

std::optional<gateway::Route>
IntentRouter::route(const gateway::RouteQuery &Query) {
  const std::shared_ptr<const SettingsSnapshot> Settings = Settings_.current();
  if (!Settings)
    return std::nullopt;
  const settings::Service *Service =
      Settings->findService(Query.ServiceName_, Query.HostName_, Query.Path_);
  if (Service == nullptr)
    return std::nullopt;
  gateway::Route Found;
  Found.Service_ = Service->Id_;
  Found.Deadline_ = Service->Deadline_;
  Found.Idempotent_ =
      std::find(Service->IdempotentMethods_.begin(),
                Service->IdempotentMethods_.end(),
                Query.Method_) != Service->IdempotentMethods_.end();
  Found.Preference_ = Settings->preference(Query.CallerAddress_);
  Found.SettingsVersion_ = Settings->intent()->Version_;
  return Found;
}

} // namespace lychee::daemon
