#ifndef LYCHEE_APPS_LYCHEED_NOCLAIMS_H
#define LYCHEE_APPS_LYCHEED_NOCLAIMS_H

#include "gateway/ClaimGate.h"

namespace lychee::daemon {

/// Grants no claim: where none can be recorded nothing may run, and the caller
/// is told so, truthfully.
class NoClaims final : public gateway::ClaimGate {
public:
  void acquire(const gateway::ClaimRequest & /*Asked*/, base::TimePoint /*Now*/,
               Answered Done) override {
    Done(gateway::ClaimAnswer());
  }

  void settle(const gateway::ClaimRequest & /*Granted*/,
              gateway::ClaimEnd /*End*/, int /*Status*/,
              base::TimePoint /*Now*/) override {}
};

} // namespace lychee::daemon

#endif
