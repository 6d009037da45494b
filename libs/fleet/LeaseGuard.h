#ifndef LYCHEE_FLEET_LEASEGUARD_H
#define LYCHEE_FLEET_LEASEGUARD_H

#include "base/Time.h"

#include <cstdint>
#include <mutex>
#include <string_view>

namespace lychee::fleet {

/// Whether this host may use what its lease covers.
enum class LeaseState {
  Valid,
  /// The lease has expired or was never granted.
  Expired,
  /// The lease is valid, but the epoch asked about is not the one in force.
  OtherEpoch,
};

/// \returns the state's name for logs.
std::string_view nameOf(LeaseState State) noexcept;

/// Decides whether this host may act now, in a given epoch. Check again after
/// any wait and right before acting, with a fresh clock reading, so that a
/// process that was stopped for a minute gets its answer for the time after it
/// resumed. Safe to use from several threads. \see LeaseHolder
class LeaseGuard {
public:
  LeaseGuard() = default;
  LeaseGuard(const LeaseGuard &) = delete;
  LeaseGuard &operator=(const LeaseGuard &) = delete;

  LeaseState check(base::TimePoint Now, std::uint64_t Epoch) const;

  /// When the lease expires unless it is extended, by this host's clock.
  base::TimePoint expiry() const;

  /// The epoch in force on this host; 0 before the first.
  std::uint64_t epoch() const;

  /// Rises whenever extend() renews a lease that had expired or was revoked.
  /// Shares held under an earlier tenure may belong to other hosts now.
  std::uint64_t tenure() const;

  /// The lease is valid until at least \p Expiry, known at \p Now. Ignored if
  /// that is over already or extends nothing.
  void extend(base::TimePoint Expiry, base::TimePoint Now);

  /// Enters \p Epoch. Epochs only rise; an older one is ignored.
  void enterEpoch(std::uint64_t Epoch);

  /// Ends the lease, as this host was removed from its zone.
  void revoke();

private:
  mutable std::mutex Lock_;
  base::TimePoint Expiry_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Tenure_ = 0;
};

} // namespace lychee::fleet

#endif
