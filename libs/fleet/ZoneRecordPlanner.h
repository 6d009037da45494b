#ifndef LYCHEE_FLEET_ZONERECORDPLANNER_H
#define LYCHEE_FLEET_ZONERECORDPLANNER_H

#include "base/Id.h"
#include "base/Time.h"
#include "fleet/LeaseTiming.h"
#include "fleet/Member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace lychee::fleet {

/// A record to be written if the version in the store is still
/// ExpectedVersion_.
struct RecordPlan {
  ZoneRecord Next_;
  std::uint64_t ExpectedVersion_ = 0;
  /// Why it is written now, as one word for the log.
  std::string_view Reason_;
};

/// Decides what a host writes into its zone's record, and when: renewals for
/// all members if it is the relay, the takeover from an unresponsive relay, and
/// its own admission if nobody else can admit it.
///
/// Safety property: a record that omits a host is written only when that host's
/// lease has expired by its own clock, or when the host is known to be gone.
/// Hence a removal by silence requires three things. Since this host first saw
/// the last renewal, a lease's duration by the slowest clock plus the maximum
/// pause must have passed. This host must have been a member that the removed
/// host knew of, since a host requests pledges from the members it knows. And
/// no pledge to the removed host may be open. Where the second condition fails,
/// as for a new host that finds a record of unresponsive unknown hosts, the
/// removal waits until the platform reports the hosts as gone. \see
/// LeaseHolder, docs/design/membership.md
class ZoneRecordPlanner {
public:
  /// \param Self  this host with its incarnation; sequence and generations are
  /// filled in here.
  ZoneRecordPlanner(const LeaseTiming &Timing, base::ZoneId Zone, Member Self,
                    base::TimePoint Now);

  /// Takes the store's record, seen at \p Now, in an answer to a call begun
  /// earlier or from a peer. Older versions are ignored. \p Version 0 means
  /// that there is none.
  void observe(const ZoneRecord &Record, std::uint64_t Version,
               base::TimePoint Now);

  /// Takes a heartbeat of \p From, received directly or forwarded.
  void receiveHeartbeat(const Member &From, base::TimePoint Now);

  /// \p Host announced that it leaves, with all its requests completed.
  void handleLeave(const base::HostId &Host);

  /// The platform no longer lists \p Host, so it runs nowhere.
  void handlePlatformRemoval(const base::HostId &Host);

  /// Promises to write no record without \p Host for a lease's duration.
  /// \returns false if the newest record, or one that is being written, omits
  /// \p Host already, or if no record lists this incarnation of this host yet.
  bool grantPledge(const base::HostId &Host, base::TimePoint Now);

  /// \returns true if \p Host's lease has certainly expired, as far as silence
  /// or the platform can prove it. \see grantPledge
  bool isLeaseExpired(const base::HostId &Host, base::TimePoint Now) const;

  /// \returns the record to write now, if any.
  std::optional<RecordPlan> plan(base::TimePoint Now) const;

  /// Marks \p Plan as being written. It may take effect at any time until a
  /// later version is seen or abandonWrites() is called, so hosts that it
  /// removes get no pledge.
  void beginWrite(const RecordPlan &Plan);

  /// No write of this host is in progress: the last one and all before it are
  /// known to have failed.
  void abandonWrites() { PendingRemovals_.clear(); }

  const ZoneRecord &record() const noexcept { return Record_; }
  std::uint64_t version() const noexcept { return Version_; }
  bool isRelay() const noexcept { return Record_.Relay_ == Self_.Host_; }
  bool isMember() const noexcept {
    return Record_.find(Self_.Host_) != nullptr;
  }
  /// Whether this host is the first to take over when the relay becomes
  /// unresponsive.
  bool isStandby() const;

private:
  ZoneRecord nextRecord(base::TimePoint Now) const;
  std::vector<Member> newMembers(base::TimePoint Now) const;
  bool hasNewerHeartbeat(const Member &Listed) const;
  /// A member that dies before the record shows that it knows of a new member
  /// can be removed only by older members. Hence acknowledgements are written
  /// at once.
  bool acknowledgesGeneration(const ZoneRecord &Next) const;
  bool mustRemove(const Member &Listed, base::TimePoint Now) const;
  bool isExpiryProven(const Member &Listed, base::TimePoint Now) const;
  std::optional<RecordPlan> planJoin(base::TimePoint Now) const;
  base::Duration takeoverDelay() const;

  const LeaseTiming Timing_;
  const base::ZoneId Zone_;
  Member Self_;
  const base::TimePoint Started_;
  ZoneRecord Record_;
  std::uint64_t Version_ = 0;
  base::TimePoint RecordChangedAt_;
  std::map<base::HostId, base::TimePoint> RenewedAt_;
  struct ReceivedHeartbeat {
    Member Member_;
    base::TimePoint ReceivedAt_;
  };
  std::map<base::HostId, ReceivedHeartbeat> Heartbeats_;
  std::set<base::HostId> Departed_;
  std::set<base::HostId> PendingRemovals_;
  std::map<base::HostId, base::TimePoint> PledgedUntil_;
};

} // namespace lychee::fleet

#endif
