#ifndef LYCHEE_ADMISSION_FAIRQUEUE_H
#define LYCHEE_ADMISSION_FAIRQUEUE_H

#include "admission/DeficitRing.h"
#include "admission/QueuedRequest.h"
#include "base/Id.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lychee::admission {

/// Requests that wait for room at one service, in the order in which they get
/// it: customers by weight, within a customer its callers equally, both
/// charged by the slot time that their work took.
///
/// Load patterns: one customer sends several times its rate, one caller of a
/// customer sends most of its requests, or one customer's requests take a
/// hundred times longer. In one common line each of them makes everyone wait
/// behind it. Counting requests and not slot time would let the long work of
/// one displace the short work of all.
///
/// Not thread-safe: the owner guards it by its service's lock. A push or pop
/// allocates nothing once the queue has been as long before.
/// \see AdmissionControl
class FairQueue {
public:
  FairQueue() = default;
  FairQueue(const FairQueue &) = delete;
  FairQueue &operator=(const FairQueue &) = delete;

  /// \returns the number of \p Customer in this queue, for as long as the
  /// queue lives; sets its weight.
  CustomerIndex enrol(const base::CustomerId &Customer, std::uint32_t Weight);

  /// Puts a request in line.
  QueuePosition push(const QueuedRequest &Request);

  /// Takes out whose turn it is, and charges its expected work.
  /// \param NewestFirst  says of each customer whether its latest request goes
  /// first; see AdmissionControl for when that helps.
  std::optional<QueuedRequest>
  pop(const std::function<bool(CustomerIndex)> &NewestFirst);

  /// Corrects the charge of a request that was popped, or charges one that did
  /// not have to wait (with an expectation of zero).
  void settle(CustomerIndex Customer, std::uint64_t Caller,
              base::Duration Expected, base::Duration Took) noexcept;

  /// Takes a request out before its turn.
  /// \returns it, or nothing where it has left the line already.
  std::optional<QueuedRequest> remove(QueuePosition Where);

  /// Takes out every request for which \p Leaves holds, into \p Left.
  void removeIf(const std::function<bool(const QueuedRequest &)> &Leaves,
                std::vector<QueuedRequest> &Left);

  /// \returns the slot time of this customer that is served before a request
  /// that this caller would push now.
  base::Duration workAhead(CustomerIndex Customer, std::uint64_t Caller) const;

  std::uint32_t weightOf(CustomerIndex Customer) const noexcept {
    return CustomerEntries_[Customer].Weight_;
  }

  std::size_t size() const noexcept { return Size_; }
  std::size_t sizeOf(CustomerIndex Customer) const noexcept;

private:
  /// Slot time that a customer can have saved up: half a second of one slot.
  /// As much as one long request takes among short ones of 20 ms, so that a
  /// customer inside its share does not wait for its own long work.
  static constexpr int CreditQuanta = 25;
  static constexpr int CallerCreditQuanta = 1;
  static constexpr std::uint32_t None = UINT32_MAX;

  struct Node {
    QueuedRequest Request_;
    std::uint32_t Flow_ = None;
    std::uint32_t Previous_ = None;
    std::uint32_t Next_ = None;
    std::uint32_t Generation_ = 0;
  };

  /// One caller's requests.
  struct Flow {
    std::uint64_t Caller_ = 0;
    CustomerIndex Customer_ = 0;
    std::uint32_t First_ = None;
    std::uint32_t Last_ = None;
    base::Duration Work_{};
  };

  struct CustomerLine {
    DeficitRing Callers_{CallerCreditQuanta};
    std::unordered_map<std::uint64_t, std::uint32_t> FlowOf_;
    std::size_t Size_ = 0;
    base::Duration Work_{};
  };

  std::uint32_t flowOf(CustomerIndex Customer, std::uint64_t Caller);
  std::uint32_t takeNode(const QueuedRequest &Request, std::uint32_t FlowIndex);
  void dropFlows(CustomerLine &Idle);
  QueuedRequest unlink(std::uint32_t NodeIndex);

  std::vector<Node> Nodes_;
  std::vector<std::uint32_t> FreeNodes_;
  std::vector<Flow> Flows_;
  /// Beside Flows_, one each.
  std::vector<RingEntry> FlowEntries_;
  std::vector<std::uint32_t> FreeFlows_;
  std::vector<CustomerLine> Customers_;
  /// Beside Customers_, one each.
  std::vector<RingEntry> CustomerEntries_;
  DeficitRing Ring_{CreditQuanta};
  std::unordered_map<base::CustomerId, CustomerIndex> IndexOf_;
  std::size_t Size_ = 0;
};

} // namespace lychee::admission

#endif
