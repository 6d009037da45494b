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

/// Demand of a customer at one host.
struct CustomerDemand {
  base::CustomerId Customer_;
  /// Requests per second over the last seconds, including refused ones.
  double RequestsPerSecond_ = 0;
};

/// Number of slots of a service that a host's callers keep busy, in whichever
/// region the requests run.
struct ServiceDemand {
  base::ServiceId Service_;
  double Slots_ = 0;
  /// The only region in which these requests may run; empty: any region.
  base::RegionId BoundTo_;
};

/// Execution times of a rule's requests as learned by a host.
struct RuleExecutionTimes {
  std::string Rule_;
  double WarmSeconds_ = 0;
  double ColdSeconds_ = 0;
  /// Mean over all executions.
  double UsualSeconds_ = 0;
};

/// Rate that a target states, as known to a host.
struct TargetRate {
  /// Key of the target and its start.
  std::uint64_t Target_ = 0;
  /// Requests per second that it takes from all hosts together; nothing: it
  /// states no rate any more.
  std::optional<double> PerSecond_;
  /// Time since the target's answer.
  base::Duration Age_{};

  bool operator==(const TargetRate &) const = default;
};

/// Largest number of targets in a heartbeat or region update: about 35 bytes
/// each.
inline constexpr std::size_t MaxTargetRates = 32;

/// A target that said that it leaves, as known to a host.
struct TargetLeaving {
  /// Key of the target and its start.
  std::uint64_t Target_ = 0;
  /// Time since the target's answer.
  base::Duration Age_{};

  bool operator==(const TargetLeaving &) const = default;
};

/// Largest number of leaving targets in a heartbeat or region update: about 30
/// bytes each.
inline constexpr std::size_t MaxTargetLeavings = 32;

/// Largest number of rules in a heartbeat: about 30 bytes each, all in one
/// datagram.
inline constexpr std::size_t MaxRuleExecutionTimes = 64;

/// Work that a host's callers asked of a service that lacks capacity, in slots
/// over about the last second.
struct ServicePressure {
  base::ServiceId Service_;
  /// The only region in which these requests may run, where that is another one
  /// than the host's; empty: any region, or the host's own.
  base::RegionId BoundTo_;
  std::uint32_t Priority_ = 0;
  double AskedSlots_ = 0;
  /// Admitted to target selection.
  double AdmittedSlots_ = 0;
  /// Of the admitted work, what cannot be answered in time for lack of
  /// capacity.
  double LackingSlots_ = 0;
  /// Fraction of the demand that the host serves, the same for each priority.
  double Share_ = 1;

  bool operator==(const ServicePressure &) const = default;
};

/// Largest number of pressures in a heartbeat: about 45 bytes each.
inline constexpr std::size_t MaxServicePressures = 32;

/// Identity of a host, and the addresses at which callers and other hosts reach
/// it.
struct HostDescriptor {
  base::HostId Host_;
  base::RegionId Region_;
  base::ZoneId Zone_;
  /// IP of the host; all hosts use the same port for heartbeats.
  std::string Address_;
  /// IP:PORT for callers.
  std::string CallerAddress_;
  /// Increases with each start of the host.
  std::uint64_t Incarnation_ = 0;

  bool operator==(const HostDescriptor &) const = default;
};

/// State that a host sends to the others a few times per second, one datagram
/// each. A lost heartbeat is compensated by the next one.
struct Heartbeat {
  HostDescriptor Sender_;
  /// If not set, Sender_ holds only host and incarnation. The rest makes up
  /// half of a heartbeat and was sent before.
  bool HasDescriptor_ = true;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t Sequence_ = 0;
  /// The host knows its intent and its targets, and its keys are fresh.
  bool Ready_ = false;
  /// The host was told to stop; no more callers may be sent to it.
  bool Leaving_ = false;
  /// A recent call of the host to the store failed.
  bool StoreTrouble_ = false;
  /// The host reaches no targets.
  bool TargetsUnreached_ = false;
  /// Version of the host's intent, if it is newer than the one that the store
  /// shows since it came back from an older copy.
  std::optional<std::uint64_t> VersionAhead_;
  /// Whether Demands_ holds all demands; otherwise only those that changed
  /// since the last full update. \see DemandDeltaEncoder
  bool IsFull_ = true;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
  /// Only of services that lack capacity, or did a moment ago.
  std::vector<ServicePressure> Pressures_;
  /// Changes, and now and then those that hold.
  std::vector<TargetRate> TargetRates_;
  std::vector<TargetLeaving> TargetLeavings_;
  /// Sent only to hosts that have just started.
  std::vector<RuleExecutionTimes> Times_;
  /// Addresses of the hosts whose heartbeats the sender receives. Hosts
  /// discover each other this way while the store is unavailable.
  std::vector<std::string> LivePeers_;
};

std::string encodeHeartbeat(const Heartbeat &Message);

/// Encodes a heartbeat in at most \p MaxBytes. If it is too long, crash
/// evidence, targets' statements, execution times and live peers are omitted,
/// and then demands. A host that sent nothing would be considered dead.
std::string encodeHeartbeat(const Heartbeat &Message, std::size_t MaxBytes);

/// \returns nothing and fills \p Last if \p Text is not a heartbeat.
std::optional<Heartbeat> decodeHeartbeat(std::string_view Text,
                                         base::Error &Last);

} // namespace lychee::members

#endif
