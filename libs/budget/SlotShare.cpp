#include "budget/SlotShare.h"

#include "base/WideInteger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lychee::budget {

SlotShare::SlotShare(std::string Budget, base::HostId Self, std::int64_t Total)
    : Share_(std::move(Budget), std::move(Self)), Total_(Total) {}

std::int64_t SlotShare::slotsOf(Parts Held) const noexcept {
  // Compensates for the rounding of transfers, or a share of 11 slots received
  // in two transfers would count as 10. All hosts together still get at most
  // the total: their exact slots add up to at most the total, so that with
  // fewer than 2^20 hosts the rounded ones add up to less than one slot more.
  constexpr Parts Rounding = TotalParts >> 20;
  const base::Int128 Scaled = static_cast<base::Int128>(Total_) * Held;
  return static_cast<std::int64_t>((Scaled + Rounding) / TotalParts);
}

bool SlotShare::enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                           base::TimePoint LeaseUntil,
                           base::TimePoint Now) noexcept {
  return Share_.enterEpoch(Epoch, Allotment, LeaseUntil, Now);
}

void SlotShare::settle(std::uint64_t Epoch) noexcept { Share_.settle(Epoch); }

void SlotShare::renewLease(std::uint64_t Epoch,
                           base::TimePoint Until) noexcept {
  Share_.renewLease(Epoch, Until);
}

bool SlotShare::fitsAllotment(const ShareAmount &Allotment) const noexcept {
  return InUse_ <= slotsOf(Allotment.Capacity_);
}

std::int64_t SlotShare::spare(base::TimePoint Now) const noexcept {
  return std::max<std::int64_t>(0,
                                slotsOf(Share_.usable(Now).Capacity_) - InUse_);
}

bool SlotShare::acquire(std::int64_t Slots, base::TimePoint Now) noexcept {
  if (Slots > spare(Now))
    return false;
  InUse_ += Slots;
  return true;
}

void SlotShare::release(std::int64_t Slots) noexcept {
  // Releasing slots that were not acquired would let two requests use one slot.
  assert(Slots <= InUse_ &&
         "callers release only slots that they acquired, once");
  InUse_ -= std::min(Slots, InUse_);
}

std::optional<Transfer> SlotShare::donate(const base::HostId &Receiver,
                                          std::int64_t Slots,
                                          base::TimePoint Now) {
  if (Total_ <= 0 || Slots <= 0)
    return std::nullopt;
  const std::int64_t Donated = std::min(Slots, spare(Now));
  if (Donated <= 0)
    return std::nullopt;
  // Parts of whole slots, rounded up so that the receiver gets complete slots,
  // but limited so that the rounding does not take a slot that is in use.
  const Parts Wanted = static_cast<Parts>(
      (static_cast<base::Int128>(Donated) * TotalParts + Total_ - 1) / Total_);
  const Parts InUseParts = static_cast<Parts>(
      (static_cast<base::Int128>(InUse_) * TotalParts + Total_ - 1) / Total_);
  const Parts Free = Share_.usable(Now).Capacity_ - InUseParts;
  if (Free <= 0)
    return std::nullopt;
  return Share_.donate(Receiver, {0, std::min(Wanted, Free)}, Now);
}

bool SlotShare::accept(const Transfer &Received, base::TimePoint Now) {
  return Share_.accept(Received, Now);
}

} // namespace lychee::budget
