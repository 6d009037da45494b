#ifndef LYCHEE_ADMISSION_FAIRQUEUE_H
#define LYCHEE_ADMISSION_FAIRQUEUE_H

#include "admission/DeficitRoundRobin.h"
#include "admission/QueuedRequest.h"
#include "base/Id.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lychee::admission {

/// Fair queue of the requests that wait for a free slot at one service. Slots
/// are divided among customers by weight and equally among the callers of a
/// customer; both are charged the slot time that their requests took.
///
/// Load patterns: one customer sends several times its rate, one caller of a
/// customer sends most of its requests, or one customer's requests take a
/// hundred times longer. In a single queue all others would wait behind it.
/// Counting requests instead of slot time would let the long requests of one
/// customer displace the short ones of all others.
///
/// Not thread-safe: the owner guards it by its service's lock. push() and
/// pop() allocate only for a new caller, or while the queue is longer than ever
/// before.
/// \see AdmissionControl
class FairQueue {
public:
  FairQueue() = default;
  FairQueue(const FairQueue &) = delete;
  FairQueue &operator=(const FairQueue &) = delete;

  /// Registers \p Customer if it is new, and sets its weight.
  /// \returns its number, which is valid as long as the queue exists.
  CustomerIndex registerCustomer(const base::CustomerId &Customer,
                                 std::uint32_t Weight);

  /// Queues a request.
  /// \returns its position, for remove().
  QueuePosition push(const QueuedRequest &Request);

  /// Removes the next request and charges its expected slot time.
  /// \param NewestFirst  \returns whether a customer's newest request is served
  /// first; see AdmissionControl for when that helps.
  std::optional<QueuedRequest>
  pop(const std::function<bool(CustomerIndex)> &NewestFirst);

  /// Corrects the charge of a request that was popped from \p Expected to
  /// \p Took, or charges one that was not queued (with \p Expected zero).
  void adjustCharge(CustomerIndex Customer, std::uint64_t Caller,
                    base::Duration Expected, base::Duration Took) noexcept;

  /// Removes a request before its turn.
  /// \returns the request, or nothing if it is no longer queued.
  std::optional<QueuedRequest> remove(QueuePosition Position);

  /// Moves every request for which \p ShouldRemove is true to \p Removed.
  void removeIf(const std::function<bool(const QueuedRequest &)> &ShouldRemove,
                std::vector<QueuedRequest> &Removed);

  /// \returns the expected slot time of this customer's requests that are
  /// served before a request that this caller would push now.
  base::Duration workAhead(CustomerIndex Customer, std::uint64_t Caller) const;

  std::uint32_t weightOf(CustomerIndex Customer) const noexcept {
    return CustomerEntries_[Customer].Weight_;
  }

  std::size_t size() const noexcept { return Size_; }
  std::size_t sizeOf(CustomerIndex Customer) const noexcept;

private:
  /// Upper bound of a customer's credit, in quanta: half a second of one slot.
  /// As much as one long request takes among short ones of 20 ms, so that a
  /// customer within its share does not wait because of its own long request.
  static constexpr int CustomerCreditQuanta = 25;
  static constexpr int CallerCreditQuanta = 1;
  static constexpr std::uint32_t None = UINT32_MAX;

  struct Node {
    QueuedRequest Request_;
    std::uint32_t Flow_ = None;
    std::uint32_t Previous_ = None;
    std::uint32_t Next_ = None;
    std::uint32_t Generation_ = 0;
  };

  /// The queued requests of one caller.
  struct Flow {
    std::uint64_t Caller_ = 0;
    CustomerIndex Customer_ = 0;
    std::uint32_t First_ = None;
    std::uint32_t Last_ = None;
    base::Duration Work_{};
  };

  struct CustomerQueue {
    DeficitRoundRobin Callers_{CallerCreditQuanta};
    std::unordered_map<std::uint64_t, std::uint32_t> FlowByCaller_;
    std::size_t Size_ = 0;
    base::Duration Work_{};
  };

  std::uint32_t flowOf(CustomerIndex Customer, std::uint64_t Caller);
  std::uint32_t allocateNode(const QueuedRequest &Request,
                             std::uint32_t FlowIndex);
  void releaseIdleFlows(CustomerQueue &Queue);
  QueuedRequest unlink(std::uint32_t NodeIndex);

  std::vector<Node> Nodes_;
  std::vector<std::uint32_t> FreeNodes_;
  std::vector<Flow> Flows_;
  /// Parallel to Flows_.
  std::vector<RoundRobinEntry> FlowEntries_;
  std::vector<std::uint32_t> FreeFlows_;
  std::vector<CustomerQueue> Customers_;
  /// Parallel to Customers_.
  std::vector<RoundRobinEntry> CustomerEntries_;
  DeficitRoundRobin Scheduler_{CustomerCreditQuanta};
  std::unordered_map<base::CustomerId, CustomerIndex> IndexOf_;
  std::size_t Size_ = 0;
};

} // namespace lychee::admission

#endif
