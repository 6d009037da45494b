#ifndef LYCHEE_FLEET_FLEETSTATE_H
#define LYCHEE_FLEET_FLEETSTATE_H

#include "fleet/Directory.h"
#include "fleet/FreshnessVote.h"
#include "fleet/LeaseGuard.h"
#include "fleet/LeaseHolder.h"
#include "fleet/SettingsReplica.h"
#include "fleet/ZoneRecordPlanner.h"

#include <json/json.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::fleet {

/// Store versions of the shared objects. Hosts compare these first and fetch
/// newer objects from a peer that has them.
struct Versions {
  std::uint64_t Record_ = 0;
  std::uint64_t Directory_ = 0;
  std::uint64_t Settings_ = 0;
};

/// A host's knowledge of the fleet, and the messages by which hosts exchange
/// it: heartbeats travel up to the zone's relay, and the answers carry the
/// zone's record, the directory and the freshness of the settings down. Records
/// are ordered by their store version, whether they come from the store or from
/// a peer.
///
/// Does no I/O and reads no clock. Safe to use from several threads; its one
/// lock is held for microseconds. \see FleetNode, which makes the calls
class FleetState {
public:
  FleetState(const LeaseTiming &Timing, const base::ZoneId &Zone,
             const Member &Self, base::TimePoint Now);
  FleetState(const FleetState &) = delete;
  FleetState &operator=(const FleetState &) = delete;

  // Heartbeats.

  /// \returns the next heartbeat as JSON: this host's own and those it
  /// forwards.
  Json::Value makeHeartbeat(base::TimePoint Now);
  /// \returns the answer to a peer's heartbeat.
  Json::Value answerHeartbeat(const Json::Value &Request, base::TimePoint Now);
  /// \param SentAt  when the heartbeat was sent.
  /// \returns true if the peer knows a newer settings root than the one applied
  /// on this host.
  bool handleHeartbeatAnswer(const Json::Value &Answer, base::TimePoint SentAt,
                             base::TimePoint Now);

  /// \param AdmissionGeneration  the admission generation that the requester
  /// knows of itself. A requester that was removed and admitted again without
  /// learning of it is refused: its lease would become valid again together
  /// with shares that others have received since.
  bool grantPledge(const base::HostId &Host, std::uint64_t AdmissionGeneration,
                   base::TimePoint Now);
  void handlePledge(const base::HostId &Host, base::TimePoint SentAt,
                    base::TimePoint Now);
  void handleLeave(const base::HostId &Host);
  void handlePlatformRemoval(const base::HostId &Host);
  void setLeaving();

  // Freshness vote of all hosts.

  Json::Value freshnessViews(base::TimePoint Now) const;
  void handleFreshnessViews(const Json::Value &Answer, base::TimePoint SentAt);
  /// Confirms the settings by the statements of all hosts, if these are
  /// complete.
  void applyFreshnessVote(base::TimePoint Now);

  // The store.

  void handleRecord(const ZoneRecord &Record, std::uint64_t Version,
                    base::TimePoint Now);
  /// \returns a record to be written now, if any. The write counts as in
  /// progress from this call on.
  std::optional<RecordPlan> beginWrite(base::TimePoint Now);
  /// Every write begun so far is known to have failed.
  void abandonWrites();
  void handleDirectory(const Directory &Seen, std::uint64_t Version);
  /// \returns the directory to be written over \p Version, if it must change.
  std::optional<Directory> planDirectory(std::uint64_t &Version) const;

  // Accessors.

  LeaseGuard &leaseGuard() noexcept { return LeaseGuard_; }
  const LeaseGuard &leaseGuard() const noexcept { return LeaseGuard_; }
  Versions versions() const;
  Directory directory() const;
  ZoneRecord zoneRecord() const;
  /// The store version of the applied settings.
  std::uint64_t appliedSettingsVersion() const;
  bool isOwnZone(std::string_view Zone) const noexcept {
    return Zone == Zone_.name();
  }
  const std::string &selfAddress() const noexcept { return Address_; }
  /// The generation at which the newest record admitted this incarnation of
  /// this host; 0 if the record does not list it. A changed value means that
  /// this host was removed in between.
  std::uint64_t admissionGeneration() const;
  bool isRelay() const;
  /// True for the relay and the standby, and for a host that is not a member.
  bool talksToStore() const;
  /// \returns the members to send heartbeats to, best first.
  std::vector<Member> heartbeatRecipients() const;
  /// \returns the other members of this host's zone.
  std::vector<Member> zonePeers() const;
  /// \returns true if the lease depends on pledges because records do not renew
  /// it.
  bool needsPledges(base::TimePoint Now) const;

  /// Calls \p Use with the replica, under the lock.
  template <typename User> auto withSettings(User Use) {
    const std::lock_guard Guard(Lock_);
    return Use(Replica_);
  }
  template <typename User> auto withSettings(User Use) const {
    const std::lock_guard Guard(Lock_);
    return Use(Replica_);
  }

private:
  void receiveHeartbeats(const Json::Value &Request, base::TimePoint Now);
  void receiveRecord(const Json::Value &Answer, base::TimePoint Now);
  void observeRecord(const ZoneRecord &Record, std::uint64_t Version,
                     base::TimePoint Now);
  void extendLease(base::TimePoint Now);
  void observeDirectory(const Directory &Seen, std::uint64_t Version);
  std::vector<base::HostId> voters(base::TimePoint Now) const;
  std::optional<Freshness> zoneFreshness(base::TimePoint Now) const;

  const LeaseTiming Timing_;
  const base::ZoneId Zone_;
  const std::string Address_;
  mutable std::mutex Lock_;
  Member Self_;
  LeaseHolder Holder_;
  ZoneRecordPlanner Planner_;
  LeaseGuard LeaseGuard_;
  Directory Directory_;
  std::uint64_t DirectoryVersion_ = 0;
  SettingsReplica Replica_;
  FreshnessVote Vote_;
  /// Heartbeats of other hosts, forwarded with the next own one.
  std::map<base::HostId, Member> PendingForward_;
  /// The newest clock reading received from each heartbeat recipient. It is
  /// sent back with heartbeats to prove that their statements were made after
  /// it.
  std::map<std::string, std::int64_t> ClockEchoes_;
};

} // namespace lychee::fleet

#endif
