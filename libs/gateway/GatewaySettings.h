#ifndef LYCHEE_GATEWAY_GATEWAYSETTINGS_H
#define LYCHEE_GATEWAY_GATEWAYSETTINGS_H

#include "base/Id.h"
#include "base/Time.h"
#include "gateway/Vocabulary.h"
#include "settings/DaemonSettings.h"

#include <cstdint>

namespace lychee::gateway {

/// Limits and times of one gateway.
struct GatewaySettings {
  Vocabulary Names_;
  base::HostId Host_;
  settings::Endpoint Callers_;
  std::uint32_t Threads_ = 2;
  /// IP from which targets are connected to; empty: the kernel chooses.
  std::string Source_;

  std::uint32_t ConnectionLimit_ = 20000;
  std::uint32_t HeaderLimitBytes_ = 16 * 1024;
  std::uint64_t BodyLimitBytes_ = 1ULL << 30;
  /// A body up to this size is held in memory whole, so that it can be sent
  /// again; of a longer one this much is held while it streams.
  std::uint32_t HeldBodyBytes_ = 64 * 1024;
  /// For the bodies of all requests together. \see BodyMemory
  std::uint64_t BodyMemoryBytes_ = 48ULL << 20;
  /// The same as HeldBodyBytes_ for answers: a cut in a held one can be retried
  /// unseen.
  std::uint32_t HeldAnswerBytes_ = 64 * 1024;

  /// A caller's connection may lie idle this long between requests.
  base::Duration IdleTimeout_ = std::chrono::seconds(60);
  /// A head must be whole this long after its first byte.
  base::Duration HeaderTimeout_ = std::chrono::seconds(10);
  /// A body, either way, must go on within this time.
  base::Duration ProgressTimeout_ = std::chrono::seconds(20);

  base::Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// An idle target connection older than this is not used again. Below the
  /// 60 s after which common servers and address translators forget one.
  base::Duration ReuseIdleLimit_ = std::chrono::seconds(30);
  /// Non-idempotent work goes only on a connection that is new or that showed
  /// life at most this long ago: opening one costs about 1 ms.
  base::Duration ProvenLifeLimit_ = std::chrono::milliseconds(100);

  /// Idempotent work on a connection that lay idle for this long is sent once
  /// more on a new one when it stays silent. \see HedgePolicy
  base::Duration HedgeIdleLimit_{};

  /// Between two polls of a target; zero: none is made.
  base::Duration PollInterval_ = std::chrono::seconds(1);
  base::Duration PollTimeout_ = std::chrono::seconds(1);

  base::Duration LookupTimeToLive_ = std::chrono::seconds(5);
  base::Duration StopDeadline_ = std::chrono::seconds(30);
};

/// \returns a gateway's settings from its daemon's.
GatewaySettings gatewaySettingsOf(const settings::DaemonSettings &Daemon);

} // namespace lychee::gateway

#endif
