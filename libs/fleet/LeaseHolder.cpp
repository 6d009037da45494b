#include "fleet/LeaseHolder.h"

#include <algorithm>

namespace lychee::fleet {

std::uint64_t LeaseHolder::nextHeartbeat(base::TimePoint Now) {
  ++LastSequence_;
  Sent_.push_back({LastSequence_, Now});
  // Confirming an older heartbeat could not extend the lease any more.
  while (Sent_.front().SentAt_ + Timing_.Ttl_ < Now)
    Sent_.pop_front();
  return LastSequence_;
}

void LeaseHolder::confirmHeartbeat(std::uint64_t Sequence) {
  while (!Sent_.empty() && Sent_.front().Sequence_ <= Sequence) {
    if (Sent_.front().Sequence_ == Sequence)
      ConfirmedExpiry_ =
          std::max(ConfirmedExpiry_, Sent_.front().SentAt_ +
                                         Timing_.holderDuration(Timing_.Ttl_));
    Sent_.pop_front();
  }
}

void LeaseHolder::recordPledge(const base::HostId &Host,
                               base::TimePoint RequestedAt) {
  base::TimePoint &Expiry = PledgeExpiries_[Host];
  Expiry = std::max(Expiry, RequestedAt + Timing_.holderDuration(Timing_.Ttl_));
}

base::TimePoint LeaseHolder::expiry(const ZoneRecord &Record,
                                    const base::HostId &Self,
                                    base::TimePoint Now) const {
  // A host that is alone in its zone cannot be removed by anyone: a host
  // admitted later waits for a lease's duration from when this host announced
  // that it knows of the newcomer.
  base::TimePoint PledgeExpiry = Now + Timing_.holderDuration(Timing_.Ttl_);
  for (const Member &Entry : Record.Members_) {
    if (Entry.Host_ == Self)
      continue;
    const auto Found = PledgeExpiries_.find(Entry.Host_);
    if (Found == PledgeExpiries_.end())
      return ConfirmedExpiry_;
    PledgeExpiry = std::min(PledgeExpiry, Found->second);
  }
  return std::max(ConfirmedExpiry_, PledgeExpiry);
}

void LeaseHolder::reset() {
  Sent_.clear();
  ConfirmedExpiry_ = {};
  PledgeExpiries_.clear();
}

} // namespace lychee::fleet
