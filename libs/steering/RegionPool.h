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

/// One service in one region, as seen by one host: the targets there, and the
/// queue of requests that wait for them. Each region has its own queue, because
/// a slot that becomes free helps only the requests that wait for that region.
///
/// Not thread-safe: guarded by the lock of its ServiceSteering.
class RegionPool {
public:
  RegionPool(const base::RegionId &Region, const base::HostId &Self,
             const admission::AdmissionControl::Limits &Limits);
  RegionPool(const RegionPool &) = delete;
  RegionPool &operator=(const RegionPool &) = delete;

  /// \param Targets  the service's targets in this region.
  void applyIntent(const settings::Intent &Intent,
                   std::span<const settings::Target> Targets,
                   base::TimePoint Now);

  const base::RegionId &region() const noexcept { return Region_; }
  placement::TargetPool &targets() noexcept { return Targets_; }
  const placement::TargetPool &targets() const noexcept { return Targets_; }
  admission::AdmissionControl &admission() noexcept { return Admission_; }

  /// \returns a customer's index in admission control; empty for a customer
  /// that no intent has named.
  std::optional<admission::CustomerIndex>
  customerIndex(const base::CustomerId &Customer) const;

  // Slots, and their exchange between hosts; \see SlotTable.

  void enterEpoch(std::uint64_t Epoch, std::span<const Member> Members);
  void settle(std::uint64_t Epoch);
  bool dividesSlots() const noexcept { return Slots_.dividesSlots(); }

  /// \returns true where no more slots are in use than this host holds, now and
  /// after the epoch settles.
  bool conformsToEpoch() const;

  /// \returns the free slots that this host could grant.
  std::uint32_t freeSlots(base::TimePoint Now) const;
  void receiveSpareSlots(const base::HostId &Host, const SpareSlots &Update,
                         base::TimePoint Now);
  /// \returns the free slots that the peers reported, and when the last report
  /// arrived.
  std::uint32_t peersFreeSlots() const noexcept;
  base::TimePoint peersFreeSlotsAt() const noexcept {
    return PeersFreeSlotsAt_;
  }

  /// Ends reservations for peers that did not request again; to be called about
  /// every 10 ms.
  void expireReservations(base::TimePoint Now);

  /// Sets the number of slots wanted for requests that wait for another region
  /// and would be steered here.
  void setSpillDemand(std::uint32_t Slots) noexcept { SpillDemand_ = Slots; }

  /// Adds the slot requests to send to peers now.
  void addSlotRequests(std::vector<SlotRequest> &Requests, base::TimePoint Now);

  /// Grants what can be granted of a peer's request.
  std::vector<SlotCount> grant(const SlotRequest &Request, base::TimePoint Now);
  bool acceptGrants(const base::HostId &Donor,
                    std::span<const SlotCount> Counts);

  const std::string &address(placement::TargetIndex Target) const {
    return Addresses_.at(Targets_.idOf(Target));
  }

  /// \returns the retry budget of a target.
  retrying::RetryBudget &retryBudget(placement::TargetIndex Target) {
    return RetryBudgets_[Target];
  }

private:
  /// State of another member of the epoch.
  struct Peer {
    base::RegionId Region_;
    std::uint32_t FreeSlots_ = 0;
    std::uint32_t InUse_ = 0;
    base::TimePoint RequestedAt_;
  };

  void refreshShares();
  void addRecallRequests(std::vector<SlotRequest> &Requests,
                         base::TimePoint Now);
  std::uint32_t grantableSlots(const SlotRequest &Request,
                               base::TimePoint Now) const;
  std::vector<SlotCount> grantOrReserve(const SlotRequest &Request,
                                        base::TimePoint Now);
  bool hasPriority(const SlotRequest &Request) const noexcept;
  bool isBetterDonor(const Peer &Candidate, const Peer *Best) const noexcept;
  bool mayRequestFrom(const Peer &Candidate,
                      base::TimePoint Now) const noexcept;
  Peer *bestDonor(base::TimePoint Now, base::HostId &Donor);

  const base::HostId Self_;
  const base::RegionId Region_;
  placement::TargetPool Targets_;
  admission::AdmissionControl Admission_;
  SlotTable Slots_;
  std::map<base::HostId, Peer> Peers_;
  std::uint32_t SpillDemand_ = 0;
  /// Whether this host is in the region.
  bool IsLocal_ = false;
  base::TimePoint LastRecall_;
  /// Rises with each recall, so that each one goes to the next peer.
  std::size_t RecallCount_ = 0;
  base::TimePoint PeersFreeSlotsAt_;
  /// Targets of which one slot is reserved for a peer, and until when: the peer
  /// requests again within this time, or no longer needs the slot.
  std::map<base::TargetId, base::TimePoint> Reserved_;
  std::unordered_map<base::CustomerId, admission::CustomerIndex> Customers_;
  std::unordered_map<base::TargetId, std::string> Addresses_;
  std::unordered_map<placement::TargetIndex, retrying::RetryBudget>
      RetryBudgets_;
};

} // namespace lychee::steering

#endif
