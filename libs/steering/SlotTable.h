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
  /// Names the process: a host that restarts, or that comes back after it was
  /// taken out, has a new one.
  base::HostId Host_;
  base::RegionId Region_;

  bool operator==(const Member &) const = default;
};

/// How many slots of one target a donor has given one receiver, in all, since
/// both are members.
struct SlotCount {
  base::TargetId Target_;
  std::uint32_t TotalGranted_ = 0;

  bool operator==(const SlotCount &) const = default;
};

/// Which slots of a pool's targets this host may use. Over all hosts they add
/// up to at most the slots there are, whatever is lost, doubled or late, so
/// that no target gets more than it has slots by the hosts' choice.
///
/// Load pattern: 8 to 12 hosts share targets with 3 or 4 slots each. Hosts
/// that go by what others said they had in flight meet at the same free slot:
/// at 70% load 13% of all sends found their region's slots all taken
/// (docs/measurements/bench.md, round 1). A slot that one host alone may use
/// cannot be taken twice, and those who need more ask for it, which within a
/// region takes a millisecond where the work takes fifty.
///
/// Each slot begins at one host by rendezvous hashing among the hosts of its
/// region. Hosts give slots to each other. Each pair counts what one gave the
/// other, only upwards; the donor counts before it tells, and the receiver
/// takes the highest count it was told. So a lost message loses slots until
/// the next one, which carries the same count, and a doubled or late one
/// changes nothing.
///
/// On a new epoch a host keeps the lesser of its old and new slots until all
/// hosts have entered it, or are gone (settle).
///
/// Not thread-safe: part of its RegionPool. \see docs/design/slots.md
class SlotTable {
public:
  explicit SlotTable(base::HostId Self) : Self_(std::move(Self)) {}
  SlotTable(const SlotTable &) = delete;
  SlotTable &operator=(const SlotTable &) = delete;

  /// Sets the targets; leaving ones give no slots. The counts of those that
  /// stay are kept.
  void setTargets(std::span<const placement::TargetSpec> Targets);

  /// Enters a newer epoch; an older one or the same changes nothing.
  /// \param Owners  hosts among which slots are divided to begin with.
  /// \param Members  all hosts, this one included.
  void enterEpoch(std::uint64_t Epoch, std::span<const base::HostId> Owners,
                  std::span<const base::HostId> Members);

  /// All hosts have entered \p Epoch, or are gone.
  void settle(std::uint64_t Epoch);

  /// Before the first epoch slots are not divided, and no limit holds.
  bool divides() const noexcept { return Epoch_ != 0; }

  /// \returns the slots of \p Target that this host may use; below zero while
  /// it uses more than a new epoch left it.
  std::int64_t held(const base::TargetId &Target) const;

  /// \returns the slots of \p Target that this host will hold once the epoch
  /// has settled. Over all hosts they add up to the slots there are; one below
  /// zero has to get some back before.
  std::int64_t heldOnceSettled(const base::TargetId &Target) const;

  /// Counts slots as given; to be called before the receiver is told.
  /// \returns what to tell it.
  SlotCount give(const base::HostId &Receiver, const base::TargetId &Target,
                 std::uint32_t Slots);

  /// Takes what a donor told. \returns false where it tells nothing new.
  bool accept(const base::HostId &Donor, const SlotCount &Told);

  /// \returns what \p Receiver was given in all, to tell it again.
  std::vector<SlotCount> givenTo(const base::HostId &Receiver) const;

  /// \returns the members that gave this host more slots of \p Target than it
  /// gave back.
  std::vector<base::HostId> creditors(const base::TargetId &Target) const;

private:
  struct Pair {
    std::uint32_t Given_ = 0;
    std::uint32_t Received_ = 0;
  };
  struct Entry {
    std::uint32_t Slots_ = 0;
    /// Home slots of the last settled epoch and of the present one.
    std::uint32_t OldHome_ = 0;
    std::uint32_t NewHome_ = 0;
    std::map<base::HostId, Pair> Pairs_;
    /// Given to hosts that left, more than they gave: may still be in use.
    std::uint32_t GivenToLost_ = 0;
  };

  void divide(const base::TargetId &Target, Entry &Divided) const;
  bool isMember(const base::HostId &Host) const noexcept;

  base::HostId Self_;
  std::uint64_t Epoch_ = 0;
  bool Settled_ = false;
  std::vector<base::HostId> Owners_;
  std::vector<base::HostId> Members_;
  std::map<base::TargetId, Entry> Entries_;
};

} // namespace lychee::steering

#endif
