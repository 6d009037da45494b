#ifndef LYCHEE_ADMISSION_ADMISSIONCONTROL_H
#define LYCHEE_ADMISSION_ADMISSIONCONTROL_H

#include "admission/FairQueue.h"
#include "admission/Pressure.h"
#include "admission/UsageMeter.h"
#include "admission/WorkEstimate.h"

#include <string_view>

namespace lychee::admission {

/// Why a request was not let in.
enum class RefusalReason : std::uint8_t {
  None,
  /// The customer's share of its fleet rate is used up.
  RateLimited,
  /// Even alone, the work would end after the deadline.
  DeadlineTooShort,
  /// The wait in line would end after the deadline.
  WaitTooLong,
  /// The customer has as many requests in line as it may.
  QueueFull,
  /// It waited in vain: what the customer sends stays above what it is served.
  Saturated,
  /// It waited until its deadline could no longer be met.
  DeadlineExceeded,
};

/// \returns the name that stands in log lines.
std::string_view nameOf(RefusalReason Reason) noexcept;

/// What the customer's fleet rate says; from the budget of shares.
struct RateCheck {
  bool Allowed_ = true;
  /// When a token will be there; only where not allowed.
  base::Duration RetryAfter_{};
};

/// A request that asks to be let in.
struct AdmissionRequest {
  std::uint64_t Ticket_ = 0;
  CustomerIndex Customer_ = 0;
  /// Hash of caller and key.
  std::uint64_t Caller_ = 0;
  base::TimePoint Deadline_;
  RateCheck Rate_;
  /// True where a target has room for it now.
  bool HasCapacity_ = false;
};

/// What becomes of a request, and why.
struct AdmissionDecision {
  enum class Action : std::uint8_t { Admit, Wait, Refuse };

  Action Action_ = Action::Refuse;
  RefusalReason Reason_ = RefusalReason::None;
  /// Where it stands in line, to give it up early.
  QueuePosition Position_;
  /// How long the wait is expected to last.
  base::Duration ExpectedWait_{};
  /// For a refusal: when coming back helps, zero where waiting does not.
  base::Duration RetryAfter_{};
  /// What it is charged until its work is measured; for finished().
  base::Duration ExpectedWork_{};
};

/// A request that waited and is given up.
struct DroppedRequest {
  QueuedRequest Request_;
  RefusalReason Reason_ = RefusalReason::None;
  base::Duration RetryAfter_{};
};

/// Who is let in at one service, who waits and for how long, who is turned
/// away at once.
///
/// Load patterns and rules, each with what goes wrong without it:
///  - A customer above its fleet rate: refused first, before it takes room.
///  - A burst above the slots: waits in a FairQueue, as long as each request
///    can still meet its deadline; refused at once where it cannot, as a
///    request that waits in vain holds its caller back and takes a slot for an
///    answer that no one reads.
///  - Saturation: what a customer sends stays above what it is served. Its
///    line would grow to the full deadline, and everyone would be served just
///    before giving up. A customer whose line has stood nearly all of the last
///    seconds gets only waits up to SaturatedMaxWait_. \see Pressure
///  - Long work among short, heavy callers: see FairQueue.
///
/// Not thread-safe: the owner guards it by its service's lock.
class AdmissionControl {
public:
  struct Limits {
    /// How far back a line counts. A line that begins to stand is taken for
    /// saturation after about 2.3 times as long. The longer, the longer the
    /// onset of a saturation (p99 of a minute at three times capacity, newest
    /// first: 633 ms with 0.5 s, 1,591 with 2 s); the shorter, the more of
    /// long work among short is taken for saturation (worst customer refused
    /// 2.4% at 80% of capacity with 0.5 s, 0.3% with 2 s).
    base::Duration SaturationWindow_ = std::chrono::milliseconds(500);
    /// Longest wait then: ten ordinary requests. With 400 ms as many are
    /// answered in time, 12 ms later in the median.
    base::Duration SaturatedMaxWait_ = std::chrono::milliseconds(200);
    /// The same in ordinary requests; the longer of the two holds, as a service
    /// of long work has to wait longer for the same number of turns.
    int ShortWaitWorks_ = 10;
    /// Then the latest request of the customer goes first: as many are
    /// answered in time as oldest first, with a median of 38 ms against 104 at
    /// three times capacity. The price: a refusal comes after
    /// SaturatedMaxWait_.
    bool NewestFirst_ = true;
    /// Requests of one customer in line: bounds memory, as waits are bounded
    /// by deadlines already.
    std::size_t MostWaiting_ = 4096;
    /// Work of one ordinary request before any is measured.
    base::Duration ExpectedWork_ = std::chrono::milliseconds(20);
  };

  explicit AdmissionControl(const Limits &Set)
      : Limits_(Set), Work_(Set.ExpectedWork_) {}
  AdmissionControl(const AdmissionControl &) = delete;
  AdmissionControl &operator=(const AdmissionControl &) = delete;

  /// \returns the number by which this class knows the customer.
  CustomerIndex registerCustomer(const base::CustomerId &Customer,
                                 std::uint32_t Weight);

  /// Decides on a new request. One that may go counts as running until
  /// finished() is told of it.
  AdmissionDecision admit(const AdmissionRequest &Request, base::TimePoint Now);

  /// \returns the request that gets the room that has become free, if any
  /// waits; it counts as running. Those met on the way that can no longer meet
  /// their deadline are added to \p Left.
  std::optional<QueuedRequest> dequeue(base::TimePoint Now,
                                       std::vector<DroppedRequest> &Left);

  /// Puts back a request that next() gave out and that found no room.
  QueuePosition requeue(const QueuedRequest &Request);

  /// A request let in has ended and took \p Took of slot time.
  /// \param Expected  the ExpectedWork_ of its verdict, or the Work_ with
  /// which next() gave it out.
  /// \param Measured  false where the send failed: such a time says nothing
  /// about the work of others, but is charged.
  void recordCompletion(CustomerIndex Customer, std::uint64_t Caller,
                        base::Duration Expected, base::Duration Took,
                        bool Measured, base::TimePoint Now) noexcept;

  /// Gives up a waiting request whose caller hung up.
  void cancel(QueuePosition Where) { Queue_.remove(Where); }

  /// Gives up requests that can no longer be served in time. To be called at
  /// least every 10 ms while any waits.
  void expire(base::TimePoint Now, std::vector<DroppedRequest> &Left);

  std::size_t queued() const noexcept { return Queue_.size(); }
  std::uint32_t running() const noexcept { return Running_; }
  base::Duration expectedWork() const noexcept { return Work_.mean(); }

private:
  /// How a customer has fared of late.
  struct Record {
    UsageMeter Usage_;
    bool Active_ = false;
    Pressure Pressure_;
    /// Since when it is saturated; nothing where it is not.
    std::optional<base::TimePoint> SaturatedSince_;
  };

  base::Duration shortWait() const noexcept;
  void refreshActive(base::TimePoint Now) noexcept;
  void notePressure(CustomerIndex Customer, base::TimePoint Now) noexcept;
  base::Duration expectedWait(CustomerIndex Customer, std::uint64_t Caller,
                              base::TimePoint Now) const;
  std::optional<RefusalReason> mustLeave(const QueuedRequest &Request,
                                         base::TimePoint Now) const noexcept;
  static AdmissionDecision refuse(RefusalReason Reason,
                                  base::Duration RetryAfter);
  AdmissionDecision judgeWait(const AdmissionRequest &Request,
                              base::TimePoint Now);
  DroppedRequest giveUp(const QueuedRequest &Request, RefusalReason Reason,
                        base::TimePoint Now) const;

  Limits Limits_;
  FairQueue Queue_;
  WorkEstimate Work_;
  std::uint32_t Running_ = 0;
  /// By CustomerIndex.
  std::vector<Record> Records_;
  UsageMeter Usage_;
  /// Sum of the weights of the customers that used slots of late.
  std::uint32_t ActiveWeight_ = 0;
  base::TimePoint ActiveAt_;
  std::vector<QueuedRequest> Scratch_;
};

} // namespace lychee::admission

#endif
