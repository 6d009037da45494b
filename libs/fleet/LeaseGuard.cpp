#include "fleet/LeaseGuard.h"

#include <algorithm>

namespace lychee::fleet {

std::string_view nameOf(LeaseState State) noexcept {
  switch (State) {
  case LeaseState::Valid:
    return "standing";
  case LeaseState::Expired:
    return "lapsed";
  case LeaseState::OtherEpoch:
    return "other_epoch";
  }
  return "unknown";
}

LeaseState LeaseGuard::check(base::TimePoint Now, std::uint64_t Epoch) const {
  const std::lock_guard Guard(Lock_);
  if (Now >= Expiry_)
    return LeaseState::Expired;
  return Epoch == Epoch_ ? LeaseState::Valid : LeaseState::OtherEpoch;
}

base::TimePoint LeaseGuard::expiry() const {
  const std::lock_guard Guard(Lock_);
  return Expiry_;
}

std::uint64_t LeaseGuard::epoch() const {
  const std::lock_guard Guard(Lock_);
  return Epoch_;
}

std::uint64_t LeaseGuard::tenure() const {
  const std::lock_guard Guard(Lock_);
  return Tenure_;
}

void LeaseGuard::extend(base::TimePoint Expiry, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (Expiry <= Now || Expiry <= Expiry_)
    return;
  if (Now >= Expiry_)
    ++Tenure_;
  Expiry_ = Expiry;
}

void LeaseGuard::enterEpoch(std::uint64_t Epoch) {
  const std::lock_guard Guard(Lock_);
  Epoch_ = std::max(Epoch_, Epoch);
}

void LeaseGuard::revoke() {
  const std::lock_guard Guard(Lock_);
  Expiry_ = {};
}

} // namespace lychee::fleet
