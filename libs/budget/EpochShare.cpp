#include "budget/EpochShare.h"

#include <utility>

namespace lychee::budget {

EpochShare::EpochShare(std::string Budget, base::HostId Self)
    : Budget_(std::move(Budget)), Self_(std::move(Self)) {}

bool EpochShare::leaseStands(base::TimePoint Now) const noexcept {
  return Epoch_ != 0 && Now < LeaseUntil_;
}

bool EpochShare::enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                            base::TimePoint LeaseUntil,
                            base::TimePoint Now) noexcept {
  if (Epoch <= Epoch_)
    return false;
  // A host whose lease expired before it learned of the new epoch may have been
  // excluded from an epoch in between, with its parts divided among the others.
  // If it kept its parts, two hosts would use them.
  Held_ = leaseStands(Now) ? Held_.least(Allotment) : ShareAmount{};
  Allotment_ = Allotment;
  Epoch_ = Epoch;
  Settled_ = false;
  LeaseUntil_ = LeaseUntil;
  Seen_.clear();
  return true;
}

void EpochShare::settle(std::uint64_t Epoch) noexcept {
  if (Epoch != Epoch_ || Settled_)
    return;
  Held_ = Allotment_;
  Settled_ = true;
}

void EpochShare::renewLease(std::uint64_t Epoch,
                            base::TimePoint Until) noexcept {
  if (Epoch == Epoch_ && Until > LeaseUntil_)
    LeaseUntil_ = Until;
}

ShareAmount EpochShare::usable(base::TimePoint Now) const noexcept {
  return leaseStands(Now) ? Held_ : ShareAmount{};
}

std::optional<Transfer> EpochShare::donate(const base::HostId &Receiver,
                                           const ShareAmount &Wanted,
                                           base::TimePoint Now) {
  // settle() resets the share to the allotment. Parts donated before it would
  // be restored here in addition to those the receiver holds.
  if (!Settled_ || !leaseStands(Now) || Receiver == Self_)
    return std::nullopt;
  const ShareAmount Given = Held_.least(Wanted);
  if (Given.isEmpty())
    return std::nullopt;
  Held_ = Held_.minus(Given);
  Transfer Donated;
  Donated.Budget_ = Budget_;
  Donated.Epoch_ = Epoch_;
  Donated.Donor_ = Self_;
  Donated.Receiver_ = Receiver;
  Donated.Sequence_ = NextSequence_++;
  Donated.Amount_ = Given;
  return Donated;
}

bool EpochShare::accept(const Transfer &Received, base::TimePoint Now) {
  if (Received.Epoch_ != Epoch_ || Received.Receiver_ != Self_)
    return false;
  if (Received.Budget_ != Budget_ || !leaseStands(Now))
    return false;
  if (!Seen_[Received.Donor_].markNew(Received.Sequence_))
    return false;
  // A donor donates only in a settled epoch, so that this epoch has settled.
  settle(Received.Epoch_);
  Held_ = Held_.plus(Received.Amount_);
  return true;
}

bool EpochShare::SeenWindow::markNew(std::uint64_t Sequence) noexcept {
  constexpr std::uint64_t WindowBits = 64;
  if (Sequence > Highest_) {
    const std::uint64_t Ahead = Sequence - Highest_;
    Bits_ = Ahead >= WindowBits ? 0 : Bits_ << Ahead;
    Bits_ |= 1;
    Highest_ = Sequence;
    return true;
  }
  const std::uint64_t Behind = Highest_ - Sequence;
  // Too old to detect a copy: refused, and its parts are lost until the next
  // epoch.
  if (Behind >= WindowBits)
    return false;
  const std::uint64_t Bit = std::uint64_t(1) << Behind;
  if ((Bits_ & Bit) != 0)
    return false;
  Bits_ |= Bit;
  return true;
}

} // namespace lychee::budget
