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

/// A host's own side of its lease: remembers when it sent which heartbeat, and
/// counts the lease from there, never from when an answer came.
///
/// While the store is down no record can be written, so none without this host
/// either. A host cannot tell that from being cut off from a store that works
/// for others. It goes on past its lease only with a pledge from every other
/// member of its zone, as only these may remove it: "I write no record without
/// you until then". No clock, no I/O. \see LeaseGuard, ZoneRecordPlanner
class LeaseHolder {
public:
  explicit LeaseHolder(const LeaseTiming &Terms) : Terms_(Terms) {}

  /// Begins a heartbeat. \returns its sequence, from 1.
  std::uint64_t beat(base::TimePoint Now);

  /// A record of the store holds heartbeat \p Sequence of this host.
  void confirm(std::uint64_t Sequence);

  /// \p Host pledged itself, asked at \p AskedAt.
  void pledge(const base::HostId &Host, base::TimePoint AskedAt);

  /// \param Known  the newest record this host knows, with itself in it.
  /// \returns until when the lease holds, by record or by pledges.
  base::TimePoint until(const ZoneRecord &Known, const base::HostId &Self,
                        base::TimePoint Now) const;

  /// Until when by record alone.
  base::TimePoint confirmedUntil() const noexcept { return Confirmed_; }

  /// Removed: earlier confirmations and pledges are worth nothing.
  void forget();

private:
  struct Beat {
    std::uint64_t Sequence_ = 0;
    base::TimePoint At_;
  };

  const LeaseTiming Terms_;
  std::uint64_t Last_ = 0;
  std::deque<Beat> Sent_;
  base::TimePoint Confirmed_;
  std::map<base::HostId, base::TimePoint> Pledged_;
};

} // namespace lychee::fleet

#endif
