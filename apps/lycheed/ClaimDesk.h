#ifndef LYCHEE_APPS_LYCHEED_CLAIMDESK_H
#define LYCHEE_APPS_LYCHEED_CLAIMDESK_H

#include "claims/ClaimService.h"
#include "gateway/ClaimGate.h"

namespace lychee::daemon {

/// Asks the fleet's claims on behalf of the gateway. \see claims::ClaimService
class ClaimDesk final : public gateway::ClaimGate {
public:
  explicit ClaimDesk(claims::ClaimService &Claims) : Claims_(Claims) {}

  void acquire(const gateway::ClaimRequest &Asked, base::TimePoint Now,
               Answered Done) override;

  void settle(const gateway::ClaimRequest &Granted, gateway::ClaimEnd End,
              int Status, base::TimePoint Now) override;

private:
  claims::ClaimService &Claims_;
};

} // namespace lychee::daemon

#endif
