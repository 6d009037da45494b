#ifndef LYCHEE_MEMBERS_HEARTBEAT_H
#define LYCHEE_MEMBERS_HEARTBEAT_H

#include "base/Error.h"
#include "base/Id.h"
#include "retrying/CrashSuspects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::members {

/// How much a customer asks of a host.
struct CustomerDemand {
  base::CustomerId Customer_;
  /// Requests a second over the last seconds, refused ones included.
  double RequestsPerSecond_ = 0;
};

/// How many slots of a service a host's callers keep busy, wherever they run.
struct ServiceDemand {
  base::ServiceId Service_;
  double Slots_ = 0;
  /// The one region in which these requests may run; empty: they are free.
  base::RegionId BoundTo_;
};

/// How long requests of a rule run, as a host learned.
struct RuleExecutionTimes {
  std::string Rule_;
  double WarmSeconds_ = 0;
  double ColdSeconds_ = 0;
  /// The mean of all runs.
  double UsualSeconds_ = 0;
};

/// So many rules are told of: some 30 bytes each, in one datagram.
inline constexpr std::size_t MaxRuleExecutionTimes = 64;

/// Who a host is, and where callers and other hosts reach it.
struct HostDescriptor {
  base::HostId Host_;
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// IP of the host; all hosts use one port for heartbeats.
  std::string Address_;
  /// IP:PORT for callers.
  std::string CallerAddress_;
  /// Rises with each start of the host.
  std::uint64_t Incarnation_ = 0;

  bool operator==(const HostDescriptor &) const = default;
};

/// What one host tells the others a few times a second. A datagram each: one
/// that is lost is made up for by the next.
struct Heartbeat {
  HostDescriptor Sender_;
  /// Else From_ tells host and start alone: the rest was told before, and is
  /// half of what a heartbeat holds.
  bool HasDescriptor_ = true;
  /// Rises with each heartbeat of a start.
  std::uint64_t Sequence_ = 0;
  /// It knows its intent and targets, and its keys are fresh.
  bool Ready_ = false;
  /// It was told to stop: callers must not be sent to it any more.
  bool Leaving_ = false;
  /// A call of it to the store failed lately.
  bool StoreTrouble_ = false;
  /// Demands_ are all there are; else those that changed since the last whole.
  /// \see DemandDeltaEncoder
  bool IsFull_ = true;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
  /// Told to hosts that have just started.
  std::vector<RuleExecutionTimes> Times_;
  /// Addresses of hosts that it hears, so that hosts find each other while the
  /// store is away.
  std::vector<std::string> LivePeers_;
};

std::string encodeHeartbeat(const Heartbeat &Said);

/// The same within \p MostBytes: what is too long leaves out crash evidence,
/// hosts that are heard, and then demands. A host that said nothing would
/// count as dead.
std::string encodeHeartbeat(const Heartbeat &Said, std::size_t MostBytes);

/// \returns nothing, and \p Last filled, where \p Text is no heartbeat.
std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last);

} // namespace lychee::members

#endif
