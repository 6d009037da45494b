#ifndef LYCHEE_BUDGET_SLOTSHARE_H
#define LYCHEE_BUDGET_SLOTSHARE_H

#include "budget/EpochShare.h"

namespace lychee::budget {

/// One host's share of a total of things in use at once: a region's slots that
/// work steered into it may take, or the bits a second of a link. What is in
/// use is never given away: a share shrinks to what is in use at the least.
/// Not thread-safe. \see EpochShare for the rules, RateBudgets
class SlotShare {
public:
  /// \param Total  slots of the whole fleet.
  SlotShare(std::string Budget, base::HostId Self, std::int64_t Total);

  void setTotal(std::int64_t Total) noexcept { Total_ = Total; }

  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;
  void settle(std::uint64_t Epoch) noexcept;
  void renewLease(std::uint64_t Epoch, base::TimePoint Until) noexcept;

  /// \returns true where this host may tell the others that it has entered:
  /// until then work begun under the older, larger share still runs, and the
  /// slots under it are not free for anyone.
  bool fitsAllotment(const ShareAmount &Allotment) const noexcept;

  /// Takes \p Slots into use, all or none.
  bool acquire(std::int64_t Slots, base::TimePoint Now) noexcept;
  void release(std::int64_t Slots) noexcept;

  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 std::int64_t Slots, base::TimePoint Now);
  bool accept(const Transfer &Received, base::TimePoint Now);

  std::int64_t inUse() const noexcept { return InUse_; }
  /// \returns slots that this host may still take into use at \p Now.
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
