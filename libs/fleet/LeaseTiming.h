#ifndef LYCHEE_FLEET_LEASETIMING_H
#define LYCHEE_FLEET_LEASETIMING_H

#include "base/Time.h"

namespace lychee::fleet {

/// The times that leases rest on; the same on all hosts of a fleet.
struct LeaseTiming {
  /// A lease holds so long from the moment its host sent the heartbeat. Five
  /// renewals and a relay's takeover fit in, so one lost relay lapses no lease.
  base::Duration Ttl_ = std::chrono::seconds(15);
  base::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  /// A zone's record is written so often, unless it changes: 122 zones make 61
  /// writes a second, where the store takes several hundred.
  base::Duration RenewalInterval_ = std::chrono::seconds(2);
  /// A relay that has renewed nothing for so long is taken over: two renewals
  /// missed, and a write's deadline.
  base::Duration RelayTimeout_ = std::chrono::seconds(6);
  /// Two hosts' clocks run apart by at most this part of a span. Quartz keeps
  /// 100 parts in a million; ten times that.
  double DriftPart_ = 0.001;
  /// The longest pause between a host's last look at its clock and the effect
  /// of what it then did; longer ones are seen by the look itself.
  base::Duration MaxPause_ = std::chrono::seconds(2);

  /// What a host may count on of \p Span, its clock running slow at worst.
  base::Duration shortened(base::Duration Span) const {
    return base::fromSeconds(base::toSeconds(Span) * (1 - DriftPart_));
  }

  /// How long others must wait until \p Span is over for a host for certain.
  base::Duration lengthened(base::Duration Span) const {
    return base::fromSeconds(base::toSeconds(Span) * (1 + DriftPart_)) +
           MaxPause_;
  }
};

} // namespace lychee::fleet

#endif
