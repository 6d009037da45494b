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

/// A record to be written if the store's is still at Expected_.
struct RecordPlan {
  ZoneRecord Next_;
  std::uint64_t Expected_ = 0;
  /// One word for the log: why now.
  std::string_view Reason_;
};

/// Decides what a host writes into its zone's record, and when: renewals on
/// behalf of all as the relay, the takeover from a silent relay, its own
/// admission where nobody else can.
///
/// The promise: a record without a host is written only when that host's lease
/// is over by its own clock, or the host is known to be gone. Hence a removal
/// waits, from when this host first saw the last renewal, a lease's length by
/// the slowest clock and the pause bound; this host must have been a member
/// that the removed one knew of (it then asks this host for its pledges); and
/// no pledge to it may be open. What fails the middle condition, such as a
/// fresh host that finds a record of silent strangers, waits for the platform's
/// word. \see LeaseHolder, docs/design/membership.md
class ZoneRecordPlanner {
public:
  /// \param Self  this host, with zone and incarnation; sequence and
  /// generations are filled in here.
  ZoneRecordPlanner(const LeaseTiming &Terms, base::ZoneId Zone, Member Self,
                    base::TimePoint Now);

  /// The store's record was seen at \p Now, in an answer to a call begun before
  /// or from a peer. Older versions are ignored. \p Version 0: there is none.
  void observe(const ZoneRecord &Seen, std::uint64_t Version,
               base::TimePoint Now);

  /// A heartbeat of \p From, itself or passed on.
  void hear(const Member &From, base::TimePoint Now);

  /// \p Host says itself that it is gone, all its requests done.
  void leave(const base::HostId &Host);

  /// The platform's list no longer names \p Host: it runs nowhere.
  void platformGone(const base::HostId &Host);

  /// Asks this host to write no record without \p Host for a lease's length.
  /// \returns false where the newest record is without it already, or one that
  /// is being written, or where no record holds this start of this host yet.
  bool pledge(const base::HostId &Host, base::TimePoint Now);

  /// \returns true where \p Host's lease is over for certain, as far as silence
  /// or the platform can prove it; \see pledge.
  bool leaseIsOver(const base::HostId &Host, base::TimePoint Now) const;

  /// \returns what to write now, if anything.
  std::optional<RecordPlan> plan(base::TimePoint Now) const;

  /// \p Plan is being written. Until a later version is seen, or abandon(), it
  /// may take effect at any time, so hosts that it removes get no pledge.
  void begin(const RecordPlan &Plan);

  /// No write of this host is on its way: the last one certainly failed, and
  /// each one before it.
  void abandon() { Removing_.clear(); }

  const ZoneRecord &record() const noexcept { return Record_; }
  std::uint64_t version() const noexcept { return Version_; }
  bool isRelay() const noexcept { return Record_.Relay_ == Self_.Host_; }
  bool isMember() const noexcept {
    return Record_.find(Self_.Host_) != nullptr;
  }
  /// The member that takes over when the relay falls silent.
  bool isStandby() const;

private:
  ZoneRecord renewed(base::TimePoint Now) const;
  std::vector<Member> admitted(base::TimePoint Now) const;
  bool heardSince(const Member &Listed) const;
  /// A member that dies before the record says that it knows of a newcomer can
  /// be removed only by older members: such news is written at once.
  bool acknowledges(const ZoneRecord &Next) const;
  bool mustGo(const Member &Listed, base::TimePoint Now) const;
  bool silenceIsProof(const Member &Listed, base::TimePoint Now) const;
  std::optional<RecordPlan> planAsStranger(base::TimePoint Now) const;
  base::Duration takeoverWait() const;

  const LeaseTiming Terms_;
  const base::ZoneId Zone_;
  Member Self_;
  const base::TimePoint Started_;
  ZoneRecord Record_;
  std::uint64_t Version_ = 0;
  base::TimePoint ChangedAt_;
  std::map<base::HostId, base::TimePoint> RenewedAt_;
  struct Heard {
    Member Member_;
    base::TimePoint At_;
  };
  std::map<base::HostId, Heard> Heard_;
  std::set<base::HostId> Gone_;
  std::set<base::HostId> Removing_;
  std::map<base::HostId, base::TimePoint> PledgedUntil_;
};

} // namespace lychee::fleet

#endif
