#ifndef LYCHEE_ADMISSION_ADMISSIONCONTROL_H
#define LYCHEE_ADMISSION_ADMISSIONCONTROL_H

#include "admission/FairQueue.h"
#include "admission/OccupancyMeter.h"
#include "admission/UsageMeter.h"
#include "admission/WorkEstimate.h"

#include <string_view>

namespace lychee::admission {

/// Why a request was not admitted.
enum class RefusalReason : std::uint8_t {
  None,
  /// This host's share of the customer's fleet-wide rate is used up.
  RateLimited,
  /// Even without waiting, the request would end after its deadline.
  DeadlineTooShort,
  /// The expected wait is longer than the deadline allows.
  WaitTooLong,
  /// The customer has its maximum of queued requests.
  QueueFull,
  /// The customer keeps sending more than is served, and the request would wait
  /// or has waited longer than is allowed during saturation.
  Saturated,
  /// It was queued until its deadline could no longer be met.
  DeadlineExceeded,
};

/// \returns the name used in log lines.
std::string_view nameOf(RefusalReason Reason) noexcept;

/// Whether the customer's fleet-wide rate allows a request. \see
/// budget::RateBudgets
struct RateCheck {
  bool Allowed_ = true;
  /// Time until a token is available; only if not allowed.
  base::Duration RetryAfter_{};
};

/// A request that asks for admission.
struct AdmissionRequest {
  std::uint64_t Ticket_ = 0;
  CustomerIndex Customer_ = 0;
  /// Hash of caller and key.
  std::uint64_t Caller_ = 0;
  base::TimePoint Deadline_;
  RateCheck Rate_;
  /// True if a target has a free slot for it now.
  bool HasCapacity_ = false;
};

/// Whether a request is admitted, queued or refused, and why.
struct AdmissionDecision {
  enum class Action : std::uint8_t { Admit, Wait, Refuse };

  Action Action_ = Action::Refuse;
  RefusalReason Reason_ = RefusalReason::None;
  /// Position in the queue, for cancel().
  QueuePosition Position_;
  /// Expected time in the queue.
  base::Duration ExpectedWait_{};
  /// For a refusal: time after which a retry can succeed; zero if waiting does
  /// not help.
  base::Duration RetryAfter_{};
  /// Slot time that is charged until it is measured; for recordCompletion().
  base::Duration ExpectedWork_{};
};

/// A queued request that was dropped before it was served.
struct DroppedRequest {
  QueuedRequest Request_;
  RefusalReason Reason_ = RefusalReason::None;
  base::Duration RetryAfter_{};
};

/// Admission control of one service: decides which requests are admitted, which
/// are queued and for how long, and which are refused at once.
///
/// Load patterns and rules, each with the failure it prevents:
///  - A customer above its fleet-wide rate is refused first, before it takes
///    capacity.
///  - A burst beyond the free slots is kept in a FairQueue as long as each
///    request can still meet its deadline. A request that cannot is refused at
///    once: queued in vain, it would delay its caller and take a slot for a
///    response that no one reads.
///  - Saturation: a customer keeps sending more than is served. Its queue would
///    grow to the full deadline, and each request would be served just before
///    its caller gives up. A customer that had queued requests during nearly
///    all of the last seconds is only allowed waits up to SaturatedMaxWait_.
///    \see OccupancyMeter
///  - Long requests among short ones, and heavy callers: see FairQueue.
///
/// Not thread-safe: the owner guards it by its service's lock.
class AdmissionControl {
public:
  struct Limits {
    /// Time constant for detecting saturation. A queue that stays occupied
    /// counts as saturated after about 2.3 times as long. A longer window
    /// detects saturation later (p99 over a minute at three times capacity,
    /// newest first: 633 ms with 0.5 s, 1,591 ms with 2 s); a shorter one takes
    /// more of the long requests among short ones for saturation (refusals of
    /// the worst customer at 80% of capacity: 2.4% with 0.5 s, 0.3% with 2 s).
    base::Duration SaturationWindow_ = std::chrono::milliseconds(500);
    /// Maximum wait during saturation: ten ordinary requests. With 400 ms as
    /// many requests are answered in time, 12 ms later in the median.
    base::Duration SaturatedMaxWait_ = std::chrono::milliseconds(200);
    /// The same maximum in mean request durations. The longer of the two
    /// applies, because a service with long requests has to wait longer for the
    /// same number of turns.
    int SaturatedMaxWaitRequests_ = 10;
    /// Serves the newest request of a saturated customer first. As many
    /// requests are answered in time as with the oldest first, with a median of
    /// 38 ms instead of 104 ms at three times capacity. In return a request is
    /// refused only after SaturatedMaxWait_.
    bool NewestFirst_ = true;
    /// Maximum of queued requests of one customer. Bounds memory; waits are
    /// already bounded by deadlines.
    std::size_t MaxQueued_ = 4096;
    /// Initial estimate of a request's slot time, before any is measured.
    base::Duration ExpectedWork_ = std::chrono::milliseconds(20);
  };

  explicit AdmissionControl(const Limits &Config)
      : Limits_(Config), Work_(Config.ExpectedWork_) {}
  AdmissionControl(const AdmissionControl &) = delete;
  AdmissionControl &operator=(const AdmissionControl &) = delete;

  /// Registers a customer, or sets the weight of a registered one.
  /// \returns its number.
  CustomerIndex registerCustomer(const base::CustomerId &Customer,
                                 std::uint32_t Weight);

  /// Decides on a new request. An admitted request counts as running until
  /// recordCompletion().
  AdmissionDecision admit(const AdmissionRequest &Request, base::TimePoint Now);

  /// \returns the queued request that gets the free slot, if any; it counts as
  /// running. Requests found before it that can no longer be served in time are
  /// added to \p Dropped.
  std::optional<QueuedRequest> dequeue(base::TimePoint Now,
                                       std::vector<DroppedRequest> &Dropped);

  /// Queues a request again that dequeue() returned and that found no free
  /// slot.
  QueuePosition requeue(const QueuedRequest &Request);

  /// Records that an admitted request ended and took \p Took of slot time.
  /// \param Expected  ExpectedWork_ of its decision, or Work_ of the request
  /// that dequeue() returned.
  /// \param Measured  false if the send failed: its time is charged, but says
  /// nothing about the duration of other requests.
  void recordCompletion(CustomerIndex Customer, std::uint64_t Caller,
                        base::Duration Expected, base::Duration Took,
                        bool Measured, base::TimePoint Now) noexcept;

  /// Removes a queued request whose caller disconnected.
  void cancel(QueuePosition Position) { Queue_.remove(Position); }

  /// Drops queued requests that can no longer be served in time, and adds them
  /// to \p Dropped. Must be called at least every 10 ms while any is queued.
  void expire(base::TimePoint Now, std::vector<DroppedRequest> &Dropped);

  std::size_t queued() const noexcept { return Queue_.size(); }
  std::uint32_t running() const noexcept { return Running_; }
  base::Duration expectedWork() const noexcept { return Work_.mean(); }

private:
  /// Recent state of a customer.
  struct CustomerState {
    UsageMeter Usage_;
    bool Active_ = false;
    OccupancyMeter Occupancy_;
    /// Start of its saturation; empty if it is not saturated.
    std::optional<base::TimePoint> SaturatedSince_;
  };

  base::Duration saturatedMaxWait() const noexcept;
  void refreshActiveWeight(base::TimePoint Now) noexcept;
  void updateSaturation(CustomerIndex Customer, base::TimePoint Now) noexcept;
  base::Duration expectedWait(CustomerIndex Customer, std::uint64_t Caller,
                              base::TimePoint Now) const;
  std::optional<RefusalReason> dropReason(const QueuedRequest &Request,
                                          base::TimePoint Now) const noexcept;
  static AdmissionDecision refuse(RefusalReason Reason,
                                  base::Duration RetryAfter);
  AdmissionDecision queueOrRefuse(const AdmissionRequest &Request,
                                  base::TimePoint Now);
  DroppedRequest makeDropped(const QueuedRequest &Request, RefusalReason Reason,
                             base::TimePoint Now) const;

  Limits Limits_;
  FairQueue Queue_;
  WorkEstimate Work_;
  std::uint32_t Running_ = 0;
  /// Indexed by CustomerIndex.
  std::vector<CustomerState> Customers_;
  UsageMeter Usage_;
  /// Sum of the weights of the customers that recently used slots or have
  /// queued requests.
  std::uint32_t ActiveWeight_ = 0;
  base::TimePoint ActiveAt_;
  std::vector<QueuedRequest> Scratch_;
};

} // namespace lychee::admission

#endif
