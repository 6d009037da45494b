#ifndef LYCHEE_STEERING_REGIONPOOL_H
#define LYCHEE_STEERING_REGIONPOOL_H

#include "admission/AdmissionControl.h"
#include "placement/TargetPool.h"
#include "retrying/RetryBudget.h"
#include "settings/Intent.h"
#include "steering/SlotMessages.h"
#include "steering/SlotTable.h"

#include <unordered_map>

namespace lychee::steering {

/// One service in one region, as one host sees it: the targets there, and the
/// line of requests that wait for them. A line for each region, since a slot
/// that becomes free helps only those who wait for that region.
///
/// Not thread-safe: guarded by the lock of its ServiceSteering.
class RegionPool {
public:
  RegionPool(const base::RegionId &Region, const base::HostId &Self,
             const admission::AdmissionControl::Limits &Limits);
  RegionPool(const RegionPool &) = delete;
  RegionPool &operator=(const RegionPool &) = delete;

  /// \param Targets  those of the service that stand in this region.
  void applyIntent(const settings::Intent &Intent,
                   std::span<const settings::Target> Targets,
                   base::TimePoint Now);

  const base::RegionId &region() const noexcept { return Region_; }
  placement::TargetPool &targets() noexcept { return Targets_; }
  const placement::TargetPool &targets() const noexcept { return Targets_; }
  admission::AdmissionControl &line() noexcept { return Line_; }

  /// \returns the number of a customer in the line; one that the intent does
  /// not name has none.
  std::optional<admission::CustomerIndex>
  customer(const base::CustomerId &Customer) const;

  // Slots, and what hosts tell each other of them; \see SlotTable.

  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  void settle(std::uint64_t Epoch);
  bool divides() const noexcept { return Slots_.divides(); }

  /// \returns true where no more is in use than this host holds.
  bool fits() const;

  /// \returns free slots that this host could give.
  std::uint32_t spare(base::TimePoint Now) const;
  void heardSpare(const base::HostId &Host, const SpareSlots &Told,
                  base::TimePoint Now);
  /// \returns free slots that the other hosts told of, and when they did.
  std::uint32_t peersSpare() const noexcept;
  base::TimePoint spareHeardAt() const noexcept { return SpareHeardAt_; }

  /// Ends what was kept for peers that did not ask again; every 10 ms or so.
  void upkeep(base::TimePoint Now);

  /// Someone waits elsewhere and would be steered here.
  void want(std::uint32_t Slots) noexcept { Wanted_ = Slots; }

  /// Adds what to ask of peers now.
  void addAsks(std::vector<SlotRequest> &Asks, base::TimePoint Now);

  /// Gives what can be given of what a peer asks.
  std::vector<SlotCount> give(const SlotRequest &Asked, base::TimePoint Now);
  bool accept(const base::HostId &Donor, std::span<const SlotCount> Told);

  const std::string &address(placement::TargetIndex Target) const {
    return Addresses_.at(Targets_.idOf(Target));
  }

  /// \returns the budget of second sends to a target.
  retrying::RetryBudget &retries(placement::TargetIndex Target) {
    return Retries_[Target];
  }

private:
  /// What is known of a member.
  struct Peer {
    base::RegionId Region_;
    std::uint32_t Spare_ = 0;
    std::uint32_t Used_ = 0;
    base::TimePoint AskedAt_;
  };

  void refreshShares();
  void addRecalls(std::vector<SlotRequest> &Asks, base::TimePoint Now);
  std::uint32_t mayGive(const SlotRequest &Asked, base::TimePoint Now) const;
  std::vector<SlotCount> giveKept(const SlotRequest &Asked,
                                  base::TimePoint Now);
  bool goesFirst(const SlotRequest &Asked) const noexcept;
  bool isBetterDonor(const Peer &Each, const Peer *Best) const noexcept;
  bool mayAsk(const Peer &Each, base::TimePoint Now) const noexcept;
  Peer *bestDonor(base::TimePoint Now, base::HostId &Donor);

  const base::HostId Self_;
  const base::RegionId Region_;
  placement::TargetPool Targets_;
  admission::AdmissionControl Line_;
  SlotTable Slots_;
  std::map<base::HostId, Peer> Peers_;
  std::uint32_t Wanted_ = 0;
  /// This host stands in the region.
  bool IsNear_ = false;
  base::TimePoint RecalledAt_;
  /// Rises with each recall, so that each goes to the next peer.
  std::size_t Recalls_ = 0;
  base::TimePoint SpareHeardAt_;
  /// Targets of which one slot is kept free for a peer, and until when: it asks
  /// again within this time, or needs it no longer.
  std::map<base::TargetId, base::TimePoint> Kept_;
  std::unordered_map<base::CustomerId, admission::CustomerIndex> Customers_;
  std::unordered_map<base::TargetId, std::string> Addresses_;
  std::unordered_map<placement::TargetIndex, retrying::RetryBudget> Retries_;
};

} // namespace lychee::steering

#endif
