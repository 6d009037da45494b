#ifndef LYCHEE_BUDGET_EPOCHSHARE_H
#define LYCHEE_BUDGET_EPOCHSHARE_H

#include "base/Id.h"
#include "base/Time.h"
#include "budget/ShareAmount.h"
#include "budget/Transfer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lychee::budget {

/// One host's share of one budget: which parts of the total it may use, and
/// until when. Whatever messages are lost, late, doubled or crossed, and
/// whichever hosts die or pause, the shares that may be used at one moment
/// never add up to more than the whole. Four rules make it so:
///
/// 1. Donor first. A transfer leaves the donor's share before the message
///    exists; the receiver adds it when it comes. A lost message loses parts.
/// 2. Once. Each transfer carries its donor's sequence number; a second copy
///    is refused.
/// 3. One epoch. A transfer counts only between hosts of the same membership
///    epoch. On entering an epoch a host keeps the lesser of what it had and
///    of its new allotment, and uses the full allotment only once every holder
///    of an older epoch is known to have entered too, or to have no lease.
/// 4. Lease. Parts are used only while the own lease stands. A host that was
///    paused past its lease may find that its parts went to others.
///
/// The caller of each method reads the time after any wait and right before
/// the call: with an older reading, a process that was paused in between would
/// spend parts that are no longer its own.
/// Not thread-safe. \see RateShare, SlotShare, EpochSettlement
class EpochShare {
public:
  /// \param Budget  names the budget in messages.
  /// \param Self  this process's own id: a restarted host has a new one.
  EpochShare(std::string Budget, base::HostId Self);

  // Epochs and leases.

  /// Enters a newer epoch; an older or the same one changes nothing.
  /// \returns true where the epoch was entered.
  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;

  /// All holders of older epochs have entered \p Epoch or are gone: the full
  /// allotment may be used.
  void settle(std::uint64_t Epoch) noexcept;

  /// Moves the end of the lease. Only a renewal that proves membership in the
  /// epoch this share stands in counts.
  void renewLease(std::uint64_t Epoch, base::TimePoint Until) noexcept;

  // Use and transfer.

  /// \returns the parts that may be used at \p Now; nothing without a lease.
  ShareAmount usable(base::TimePoint Now) const noexcept;

  /// Takes \p Wanted, or what there is of it, off this share for \p Receiver.
  /// \returns nothing where there is nothing to give, no lease, or an epoch
  /// that has not settled.
  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 const ShareAmount &Wanted,
                                 base::TimePoint Now);

  /// Adds a transfer that a peer made.
  /// \returns false where it does not count: another epoch, not for this
  /// host, seen before, or no lease.
  bool accept(const Transfer &Received, base::TimePoint Now);

  // What it stands on.

  std::uint64_t epoch() const noexcept { return Epoch_; }
  bool settled() const noexcept { return Settled_; }
  const std::string &budget() const noexcept { return Budget_; }
  base::TimePoint leaseUntil() const noexcept { return LeaseUntil_; }

private:
  /// The transfers seen of one donor: the highest number, and a bit for each
  /// of the 64 numbers up to it.
  struct SeenWindow {
    std::uint64_t Highest_ = 0;
    std::uint64_t Bits_ = 0;

    bool markNew(std::uint64_t Sequence) noexcept;
  };

  bool leaseStands(base::TimePoint Now) const noexcept;

  std::string Budget_;
  base::HostId Self_;
  std::uint64_t Epoch_ = 0;
  bool Settled_ = false;
  base::TimePoint LeaseUntil_;
  ShareAmount Held_;
  ShareAmount Allotment_;
  std::uint64_t NextSequence_ = 1;
  std::map<base::HostId, SeenWindow> Seen_;
};

} // namespace lychee::budget

#endif
