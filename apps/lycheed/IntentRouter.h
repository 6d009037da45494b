#ifndef LYCHEE_APPS_LYCHEED_INTENTROUTER_H
#define LYCHEE_APPS_LYCHEED_INTENTROUTER_H

#include "gateway/RequestRouter.h"
#include "lycheed/SettingsHolder.h"

namespace lychee::daemon {

/// Finds a request's service and its caller's regions in the settings in
/// force. \see SettingsSnapshot
class IntentRouter final : public gateway::RequestRouter {
public:
  explicit IntentRouter(const SettingsHolder &Settings) : Settings_(Settings) {}

  std::optional<gateway::Route>
  route(const gateway::RouteQuery &Query) override;

private:
  const SettingsHolder &Settings_;
};

} // namespace lychee::daemon

#endif
