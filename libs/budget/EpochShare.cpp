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
  // A host whose lease ran out before it heard of the new epoch may have been
  // left out of one in between, and its parts divided among the others. Parts
  // kept across such a gap would be used by two hosts at once.
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
  // Before the epoch settles, settle() will set the share anew, so parts given
  // away now would come back on top of what the receiver got.
  if (!Settled_ || !leaseStands(Now) || Receiver == Self_)
    return std::nullopt;
  const ShareAmount Given = Held_.least(Wanted);
  if (Given.isNothing())
    return std::nullopt;
  Held_ = Held_.minus(Given);
  Transfer Made;
  Made.Budget_ = Budget_;
  Made.Epoch_ = Epoch_;
  Made.Donor_ = Self_;
  Made.Receiver_ = Receiver;
  Made.Sequence_ = NextSequence_++;
  Made.Amount_ = Given;
  return Made;
}

bool EpochShare::accept(const Transfer &Received, base::TimePoint Now) {
  if (Received.Epoch_ != Epoch_ || Received.Receiver_ != Self_)
    return false;
  if (Received.Budget_ != Budget_ || !leaseStands(Now))
    return false;
  if (!Seen_[Received.Donor_].markNew(Received.Sequence_))
    return false;
  // A donor gives only in a settled epoch, so this one is.
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
  // Too old to tell whether it is a copy: refused, its parts stay lost until
  // the next epoch.
  if (Behind >= WindowBits)
    return false;
  const std::uint64_t Bit = std::uint64_t(1) << Behind;
  if ((Bits_ & Bit) != 0)
    return false;
  Bits_ |= Bit;
  return true;
}

} // namespace lychee::budget
