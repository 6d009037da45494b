#ifndef LYCHEE_STEERING_SLOTTABLE_H
#define LYCHEE_STEERING_SLOTTABLE_H

#include "placement/TargetPool.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace lychee::steering {

/// A host of a membership epoch.
struct Member {
  /// Identifies the process: a host that restarts, or returns after it was
  /// removed, has a new id.
  base::HostId Host_;
  base::RegionId Region_;

  bool operator==(const Member &) const = default;
};

/// Total number of slots of one target that a donor has granted a receiver
/// since both became members.
struct SlotCount {
  base::TargetId Target_;
  std::uint32_t TotalGranted_ = 0;

  bool operator==(const SlotCount &) const = default;
};

/// The slots of a pool's targets that this host may use. Over all hosts they
/// add up to at most the existing slots, whatever messages are lost, duplicated
/// or delayed, so that the hosts together never send a target more requests
/// than it has slots.
///
/// Load pattern: 8 to 12 hosts share targets with 3 or 4 slots each. Hosts that
/// go by the reported load of the others collide at the same free slot: at 70%
/// load 13% of all sends found all slots of their region taken
/// (docs/measurements/bench.md). A slot that only one host may use cannot be
/// taken twice. Hosts that need more slots request them, which within a region
/// takes a millisecond, while the requests take fifty.
///
/// Each slot is first assigned to one host of its region by rendezvous hashing;
/// hosts then grant slots to each other. For each pair of hosts a count of the
/// slots granted in each direction only ever rises. The donor counts a grant
/// before it sends it, and the receiver keeps the highest count it has
/// received. A lost message therefore loses slots only until the next one,
/// which carries the same count, and a duplicate or late message changes
/// nothing.
///
/// On a new epoch a host keeps the smaller of its old and new home slots until
/// all hosts have entered the epoch, or are gone: see settle().
///
/// Not thread-safe: part of its RegionPool. \see docs/design/slots.md
class SlotTable {
public:
  explicit SlotTable(base::HostId Self) : Self_(std::move(Self)) {}
  SlotTable(const SlotTable &) = delete;
  SlotTable &operator=(const SlotTable &) = delete;

  /// Sets the targets; leaving targets provide no slots. The counts of targets
  /// that stay are kept.
  void setTargets(std::span<const placement::TargetSpec> Targets);

  /// Enters a newer epoch; an older one or the same one is ignored.
  /// \param Owners  hosts among which slots are divided initially.
  /// \param Members  all hosts, this one included.
  void enterEpoch(std::uint64_t Epoch, std::span<const base::HostId> Owners,
                  std::span<const base::HostId> Members);

  /// Settles the epoch: all hosts have entered \p Epoch, or are gone.
  void settle(std::uint64_t Epoch);

  /// \returns false before the first epoch: slots are not divided then, and no
  /// limit applies.
  bool dividesSlots() const noexcept { return Epoch_ != 0; }

  /// \returns the number of slots of \p Target that this host may use; negative
  /// while it has granted more than a new epoch left it.
  std::int64_t heldSlots(const base::TargetId &Target) const;

  /// \returns the number of slots of \p Target that this host will hold once
  /// the epoch has settled. Over all hosts these add up to the existing slots;
  /// a host with a negative number has to get slots back first.
  std::int64_t heldAfterSettling(const base::TargetId &Target) const;

  /// Counts slots as granted; to be called before the receiver is notified.
  /// \returns the count to send to it.
  SlotCount grant(const base::HostId &Receiver, const base::TargetId &Target,
                  std::uint32_t Slots);

  /// Applies a count from a donor. \returns false where it is not newer than
  /// what is known.
  bool acceptGrant(const base::HostId &Donor, const SlotCount &Count);

  /// \returns all counts granted to \p Receiver, to send them again.
  std::vector<SlotCount> grantedTo(const base::HostId &Receiver) const;

  /// \returns the members that granted this host more slots of \p Target than
  /// it granted them.
  std::vector<base::HostId> netDonors(const base::TargetId &Target) const;

private:
  struct GrantCounts {
    std::uint32_t Granted_ = 0;
    std::uint32_t Received_ = 0;
  };
  struct TargetSlots {
    std::uint32_t Slots_ = 0;
    /// Home slots that remain from earlier epochs until the present one
    /// settles, and home slots of the present epoch.
    std::uint32_t PreviousHomeSlots_ = 0;
    std::uint32_t HomeSlots_ = 0;
    std::map<base::HostId, GrantCounts> Grants_;
    /// Slots granted to hosts that left, beyond what they granted: may still be
    /// in use there.
    std::uint32_t GrantedToLost_ = 0;
  };

  void assignHomeSlots(const base::TargetId &Target,
                       TargetSlots &Assigned) const;
  bool isMember(const base::HostId &Host) const noexcept;

  base::HostId Self_;
  std::uint64_t Epoch_ = 0;
  bool Settled_ = false;
  std::vector<base::HostId> Owners_;
  std::vector<base::HostId> Members_;
  std::map<base::TargetId, TargetSlots> Targets_;
};

} // namespace lychee::steering

#endif
