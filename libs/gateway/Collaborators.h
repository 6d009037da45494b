#ifndef LYCHEE_GATEWAY_COLLABORATORS_H
#define LYCHEE_GATEWAY_COLLABORATORS_H

#include "gateway/Authenticator.h"
#include "gateway/ClaimGate.h"
#include "gateway/DecisionListener.h"
#include "gateway/HostDirectory.h"
#include "gateway/RequestRouter.h"
#include "gateway/TargetObserver.h"
#include "steering/Steering.h"

namespace lychee::gateway {

/// Whom a gateway asks and tells. All outlive it.
struct Collaborators {
  steering::Steering &Steering_;
  Authenticator &Authenticator_;
  RequestRouter &Router_;
  HostDirectory &Directory_;
  ClaimGate &Claims_;
  DecisionListener &Listener_;
  TargetObserver &Observer_;
};

} // namespace lychee::gateway

#endif
