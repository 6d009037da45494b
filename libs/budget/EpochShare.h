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
/// until when. Even if messages are lost, delayed, duplicated or reordered, and
/// hosts die or pause, the shares that are usable at any moment never add up to
/// more than the total. Four rules ensure this:
///
/// 1. Donor first. A transfer is subtracted from the donor's share before the
///    message exists, and the receiver adds it on arrival. A lost message loses
///    parts.
/// 2. Once. Each transfer carries a sequence number of its donor; a second copy
///    is refused.
/// 3. One epoch. A transfer counts only between hosts in the same membership
///    epoch. On entering an epoch a host keeps the smaller of its share and its
///    new allotment. It uses the full allotment only once every holder of an
///    older epoch is known to have entered the epoch, or to have no valid
///    lease.
/// 4. Lease. Parts are usable only while the host's lease is valid. The parts
/// of
///    a host that was paused beyond its lease may have gone to others.
///
/// Callers must read the time after any wait and immediately before each call:
/// with an older time, a process that was paused in between would spend parts
/// that it no longer holds.
/// Not thread-safe. \see RateShare, SlotShare, EpochSettlement
class EpochShare {
public:
  /// \param Budget  name of the budget in messages.
  /// \param Self  id of this process; a restarted host has a new one.
  EpochShare(std::string Budget, base::HostId Self);

  // Epochs and leases.

  /// Enters an epoch. Has no effect unless it is newer.
  /// \returns true if the epoch was entered.
  bool enterEpoch(std::uint64_t Epoch, const ShareAmount &Allotment,
                  base::TimePoint LeaseUntil, base::TimePoint Now) noexcept;

  /// All holders of older epochs have entered \p Epoch or have no valid lease:
  /// the full allotment may be used.
  void settle(std::uint64_t Epoch) noexcept;

  /// Extends the lease. Only a renewal for the epoch that this share is in
  /// counts, because it proves membership in that epoch.
  void renewLease(std::uint64_t Epoch, base::TimePoint Until) noexcept;

  // Use and transfer.

  /// \returns the parts that may be used at \p Now; none without a valid lease.
  ShareAmount usable(base::TimePoint Now) const noexcept;

  /// Subtracts \p Wanted, or what is available of it, from this share for
  /// \p Receiver.
  /// \returns nothing if no parts are available, the lease is not valid, or the
  /// epoch has not settled.
  std::optional<Transfer> donate(const base::HostId &Receiver,
                                 const ShareAmount &Wanted,
                                 base::TimePoint Now);

  /// Adds a transfer that a peer made.
  /// \returns false if it is refused: another epoch or budget, not for this
  /// host, received before, or no valid lease.
  bool accept(const Transfer &Received, base::TimePoint Now);

  // State.

  std::uint64_t epoch() const noexcept { return Epoch_; }
  bool settled() const noexcept { return Settled_; }
  const std::string &budget() const noexcept { return Budget_; }
  base::TimePoint leaseUntil() const noexcept { return LeaseUntil_; }

private:
  /// The transfers received from one donor: the highest sequence number, and a
  /// bit for each of the 64 numbers up to it.
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
