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
  /// It ran out, or was never given.
  Expired,
  /// It stands, but what is asked about belongs to another epoch.
  OtherEpoch,
};

/// \returns the state's name for logs.
std::string_view nameOf(LeaseState State) noexcept;

/// The one answer to "may I act now, in this epoch?". Asked again after any
/// wait and right before the act, with the clock read anew: a process that was
/// stopped for a minute gets its answer from the time after it woke up.
/// Safe to use from several threads. \see LeaseHolder
class LeaseGuard {
public:
  LeaseGuard() = default;
  LeaseGuard(const LeaseGuard &) = delete;
  LeaseGuard &operator=(const LeaseGuard &) = delete;

  LeaseState check(base::TimePoint Now, std::uint64_t Epoch) const;

  /// When the lease ends unless it is extended, by this host's clock.
  base::TimePoint expiry() const;

  /// The epoch in force on this host; 0 before the first.
  std::uint64_t epoch() const;

  /// Rises whenever the lease had run out before it was extended again, or was
  /// dropped: what was held under an earlier tenure may belong to others now.
  std::uint64_t tenure() const;

  /// The lease holds until \p Until at least, known at \p Now.
  void extend(base::TimePoint Until, base::TimePoint Now);

  /// Epochs only rise; an older one is ignored.
  void enter(std::uint64_t Epoch);

  /// This host was removed: it holds nothing.
  void drop();

private:
  mutable std::mutex Lock_;
  base::TimePoint Until_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Tenure_ = 0;
};

} // namespace lychee::fleet

#endif
