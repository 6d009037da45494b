#ifndef LYCHEE_GATEWAY_GATEWAYSTATE_H
#define LYCHEE_GATEWAY_GATEWAYSTATE_H

#include "gateway/Collaborators.h"
#include "gateway/GatewaySettings.h"
#include "gateway/TargetPools.h"
#include "gateway/WaitingRoom.h"

#include <atomic>
#include <cstdint>

namespace lychee::gateway {

/// Steps of a gateway's life. \see docs/design/graceful-stop.md
enum class Phase {
  Serving,
  /// Look-ups leave this host out; callers that cached it are still served,
  /// and each answer asks them to connect anew.
  Leaving,
  /// No new connection is taken; what is in flight ends.
  Finishing,
  Stopped,
};

/// What all workers of a gateway share.
struct GatewayState {
  GatewayState(const GatewaySettings &Settings, const Collaborators &Others)
      : Settings_(Settings), Others_(Others) {}

  const GatewaySettings Settings_;
  const Collaborators Others_;
  TargetPools Pools_;
  WaitingRoom Waiting_;
  std::atomic<Phase> Phase_ = Phase::Serving;
  std::atomic<std::uint32_t> Connections_ = 0;
  /// Requests whose head has come and whose answer is not yet whole.
  std::atomic<std::uint32_t> InFlight_ = 0;

  bool isServing() const noexcept { return Phase_ == Phase::Serving; }
};

} // namespace lychee::gateway

#endif
