#ifndef LYCHEE_FLEET_LEASETIMING_H
#define LYCHEE_FLEET_LEASETIMING_H

#include "base/Time.h"

namespace lychee::fleet {

/// Intervals and bounds that leases rely on; the same on all hosts of a fleet.
struct LeaseTiming {
  /// Duration of a lease, from the moment its host sent the heartbeat. Five
  /// renewals and a relay's takeover fit in, so losing one relay expires no
  /// lease.
  base::Duration Ttl_ = std::chrono::seconds(15);
  base::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  /// Interval between writes of a zone's record without changes. 122 zones make
  /// 61 writes a second; the store handles several hundred.
  base::Duration RenewalInterval_ = std::chrono::seconds(2);
  /// A relay that has renewed nothing for this long is replaced by the standby:
  /// two missed renewals and the deadline of a write.
  base::Duration RelayTimeout_ = std::chrono::seconds(6);
  /// Clocks of two hosts drift apart by at most this ratio of the elapsed time:
  /// ten times the 100 parts per million of a quartz clock.
  double MaxDriftRatio_ = 0.001;
  /// Upper bound of the pause between a host's last clock reading and the
  /// effect of the action that follows. Longer pauses are noticed by the clock
  /// reading itself.
  base::Duration MaxPause_ = std::chrono::seconds(2);

  /// How long a lease holder may rely on \p Span, by a clock that runs slow at
  /// worst.
  base::Duration holderDuration(base::Duration Span) const {
    return base::fromSeconds(base::toSeconds(Span) * (1 - MaxDriftRatio_));
  }

  /// How long other hosts must wait until \p Span is certainly over for its
  /// holder.
  base::Duration observerDuration(base::Duration Span) const {
    return base::fromSeconds(base::toSeconds(Span) * (1 + MaxDriftRatio_)) +
           MaxPause_;
  }
};

} // namespace lychee::fleet

#endif
