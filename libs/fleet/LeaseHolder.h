#ifndef LYCHEE_FLEET_LEASEHOLDER_H
#define LYCHEE_FLEET_LEASEHOLDER_H

#include "base/Id.h"
#include "base/Time.h"
#include "fleet/LeaseTiming.h"
#include "fleet/Member.h"

#include <cstdint>
#include <deque>
#include <map>

namespace lychee::fleet {

/// Tracks a host's own lease: remembers when each heartbeat was sent, and
/// counts the lease from there, never from when the answer arrived.
///
/// While the store is down no record can be written, so none that omits this
/// host either. But a host cannot tell an outage from being cut off from a
/// store that works for others. So it extends its lease without a record only
/// with a pledge from every other member of its zone, since only these may
/// remove it. A pledge is a peer's promise to write no record without this host
/// until the pledge expires. Reads no clock, does no I/O.
/// \see LeaseGuard, ZoneRecordPlanner
class LeaseHolder {
public:
  explicit LeaseHolder(const LeaseTiming &Timing) : Timing_(Timing) {}

  /// Begins a heartbeat, sent at \p Now. \returns its sequence number, from 1.
  std::uint64_t nextHeartbeat(base::TimePoint Now);

  /// A record in the store contains heartbeat \p Sequence of this host.
  void confirmHeartbeat(std::uint64_t Sequence);

  /// \p Host granted a pledge that was requested at \p RequestedAt.
  void recordPledge(const base::HostId &Host, base::TimePoint RequestedAt);

  /// \param Record  the newest record this host knows, with itself in it.
  /// \returns when the lease expires, by records or by pledges.
  base::TimePoint expiry(const ZoneRecord &Record, const base::HostId &Self,
                         base::TimePoint Now) const;

  /// When the lease expires by records alone.
  base::TimePoint confirmedExpiry() const noexcept { return ConfirmedExpiry_; }

  /// Discards all confirmations and pledges, as this host was removed.
  void reset();

private:
  struct SentHeartbeat {
    std::uint64_t Sequence_ = 0;
    base::TimePoint SentAt_;
  };

  const LeaseTiming Timing_;
  std::uint64_t LastSequence_ = 0;
  std::deque<SentHeartbeat> Sent_;
  base::TimePoint ConfirmedExpiry_;
  std::map<base::HostId, base::TimePoint> PledgeExpiries_;
};

} // namespace lychee::fleet

#endif
