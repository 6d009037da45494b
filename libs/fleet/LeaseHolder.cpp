#include "fleet/LeaseHolder.h"

#include <algorithm>

namespace lychee::fleet {

std::uint64_t LeaseHolder::beat(base::TimePoint Now) {
  ++Last_;
  Sent_.push_back({Last_, Now});
  // A confirmation of an older one could extend nothing any more.
  while (Sent_.front().At_ + Terms_.Ttl_ < Now)
    Sent_.pop_front();
  return Last_;
}

void LeaseHolder::confirm(std::uint64_t Sequence) {
  while (!Sent_.empty() && Sent_.front().Sequence_ <= Sequence) {
    if (Sent_.front().Sequence_ == Sequence)
      Confirmed_ = std::max(Confirmed_,
                            Sent_.front().At_ + Terms_.shortened(Terms_.Ttl_));
    Sent_.pop_front();
  }
}

void LeaseHolder::pledge(const base::HostId &Host, base::TimePoint AskedAt) {
  base::TimePoint &Until = Pledged_[Host];
  Until = std::max(Until, AskedAt + Terms_.shortened(Terms_.Ttl_));
}

base::TimePoint LeaseHolder::until(const ZoneRecord &Known,
                                   const base::HostId &Self,
                                   base::TimePoint Now) const {
  // Alone in its zone nobody may remove this host: who is admitted later waits
  // a lease's length from when this host said that it knows.
  base::TimePoint Pledged = Now + Terms_.shortened(Terms_.Ttl_);
  for (const Member &Each : Known.Members_) {
    if (Each.Host_ == Self)
      continue;
    const auto Found = Pledged_.find(Each.Host_);
    if (Found == Pledged_.end())
      return Confirmed_;
    Pledged = std::min(Pledged, Found->second);
  }
  return std::max(Confirmed_, Pledged);
}

void LeaseHolder::forget() {
  Sent_.clear();
  Confirmed_ = {};
  Pledged_.clear();
}

} // namespace lychee::fleet
