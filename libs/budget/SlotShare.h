#ifndef LYCHEE_BUDGET_SLOTSHARE_H
#define LYCHEE_BUDGET_SLOTSHARE_H

#include "budget/EpochShare.h"

namespace lychee::budget {

/// One host's share of a total that is in use concurrently: the slots of a
/// region for requests steered into it, or the bits per second of a link. Slots
/// in use are never donated, so that a share does not shrink below them by
/// donations. Not thread-safe. \see EpochShare for the rules, RateBudgets
class SlotShare {
public:
  /// \param Total  slots of all hosts together.
  SlotShare(std::string Budget, base::HostId Self, std::int64_t Total);

  void setTotal(std::int64_t Total) noexcept { Total_ = Total; }

  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;
  void settle(std::uint64_t Epoch) noexcept;
  void renewLease(std::uint64_t Epoch, base::TimePoint Until) noexcept;

  /// \returns true if this host may announce that it has entered the epoch.
  /// Until then requests that started under the older, larger share still run,
  /// and their slots are not available to others.
  bool fitsAllotment(const ShareAmount &Allotment) const noexcept;

  /// Acquires \p Slots, all or none.
  bool acquire(std::int64_t Slots, base::TimePoint Now) noexcept;
  void release(std::int64_t Slots) noexcept;

  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 std::int64_t Slots, base::TimePoint Now);
  bool accept(const Transfer &Received, base::TimePoint Now);

  std::int64_t inUse() const noexcept { return InUse_; }
  /// \returns the slots that this host may still acquire at \p Now.
  std::int64_t spare(base::TimePoint Now) const noexcept;
  const EpochShare &share() const noexcept { return Share_; }

private:
  std::int64_t slotsOf(Parts Held) const noexcept;

  EpochShare Share_;
  std::int64_t Total_ = 0;
  std::int64_t InUse_ = 0;
};

} // namespace lychee::budget

#endif
