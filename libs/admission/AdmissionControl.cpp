#include "admission/AdmissionControl.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace lychee::admission {

namespace {

using Action = AdmissionDecision::Action;

} // namespace

CustomerIndex
AdmissionControl::registerCustomer(const base::CustomerId &Customer,
                                   std::uint32_t Weight) {
  const CustomerIndex Index = Queue_.registerCustomer(Customer, Weight);
  if (Index >= Customers_.size())
    Customers_.resize(Index + 1);
  return Index;
}

AdmissionDecision AdmissionControl::admit(const AdmissionRequest &Request,
                                          base::TimePoint Now) {
  if (!Request.Rate_.Allowed_)
    return refuse(RefusalReason::RateLimited, Request.Rate_.RetryAfter_);
  if (Now + Work_.mean() > Request.Deadline_)
    return refuse(RefusalReason::DeadlineTooShort, {});
  // A free slot goes to a queued request, or a new one would overtake the
  // queue.
  if (!Request.HasCapacity_ || Queue_.size() > 0)
    return queueOrRefuse(Request, Now);
  ++Running_;
  AdmissionDecision Decision;
  Decision.Action_ = Action::Admit;
  Decision.ExpectedWork_ = Work_.mean();
  return Decision;
}

AdmissionDecision
AdmissionControl::queueOrRefuse(const AdmissionRequest &Request,
                                base::TimePoint Now) {
  updateSaturation(Request.Customer_, Now);
  const base::Duration Wait =
      expectedWait(Request.Customer_, Request.Caller_, Now);
  if (Queue_.sizeOf(Request.Customer_) >= Limits_.MaxQueued_)
    return refuse(RefusalReason::QueueFull, Wait);

  base::Duration MaxWait = Request.Deadline_ - Now - Work_.mean();
  RefusalReason Reason = RefusalReason::WaitTooLong;
  const bool Saturated =
      Customers_[Request.Customer_].SaturatedSince_.has_value();
  if (Saturated && saturatedMaxWait() < MaxWait) {
    MaxWait = saturatedMaxWait();
    Reason = RefusalReason::Saturated;
  }
  // With the newest first, a new request does not wait for queued ones.
  const bool Overtakes =
      Reason == RefusalReason::Saturated && Limits_.NewestFirst_;
  if (!Overtakes && Wait > MaxWait)
    return refuse(Reason, Wait - MaxWait);

  QueuedRequest Queued;
  Queued.Ticket_ = Request.Ticket_;
  Queued.Customer_ = Request.Customer_;
  Queued.Caller_ = Request.Caller_;
  Queued.Arrived_ = Now;
  Queued.Deadline_ = Request.Deadline_;
  Queued.Work_ = Work_.mean();
  AdmissionDecision Decision;
  Decision.Action_ = Action::Wait;
  Decision.Position_ = Queue_.push(Queued);
  Decision.ExpectedWait_ = Wait;
  Decision.ExpectedWork_ = Queued.Work_;
  return Decision;
}

std::optional<QueuedRequest>
AdmissionControl::dequeue(base::TimePoint Now,
                          std::vector<DroppedRequest> &Dropped) {
  const auto NewestFirst = [this](CustomerIndex Customer) {
    return Limits_.NewestFirst_ && Customers_[Customer].SaturatedSince_;
  };
  while (auto Chosen = Queue_.pop(NewestFirst)) {
    if (const auto Reason = dropReason(*Chosen, Now)) {
      Queue_.adjustCharge(Chosen->Customer_, Chosen->Caller_, Chosen->Work_,
                          {});
      Dropped.push_back(makeDropped(*Chosen, *Reason, Now));
      continue;
    }
    ++Running_;
    return Chosen;
  }
  return std::nullopt;
}

QueuePosition AdmissionControl::requeue(const QueuedRequest &Request) {
  assert(Running_ > 0 && "only a dequeued request is queued again");
  --Running_;
  Queue_.adjustCharge(Request.Customer_, Request.Caller_, Request.Work_, {});
  return Queue_.push(Request);
}

void AdmissionControl::recordCompletion(CustomerIndex Customer,
                                        std::uint64_t Caller,
                                        base::Duration Expected,
                                        base::Duration Took, bool Measured,
                                        base::TimePoint Now) noexcept {
  assert(Running_ > 0 && "only an admitted request can end");
  --Running_;
  Queue_.adjustCharge(Customer, Caller, Expected, Took);
  Customers_[Customer].Usage_.add(Took, Now);
  Usage_.add(Took, Now);
  if (Measured)
    Work_.add(Took);
}

void AdmissionControl::expire(base::TimePoint Now,
                              std::vector<DroppedRequest> &Dropped) {
  refreshActiveWeight(Now);
  if (Queue_.size() == 0)
    return;
  for (CustomerIndex Each = 0; Each < Customers_.size(); ++Each)
    updateSaturation(Each, Now);
  Scratch_.clear();
  Queue_.removeIf(
      [this, Now](const QueuedRequest &Each) {
        return dropReason(Each, Now).has_value();
      },
      Scratch_);
  for (const QueuedRequest &Each : Scratch_)
    Dropped.push_back(makeDropped(
        Each, dropReason(Each, Now).value_or(RefusalReason::None), Now));
}

base::Duration AdmissionControl::saturatedMaxWait() const noexcept {
  return std::max(Limits_.SaturatedMaxWait_,
                  Limits_.SaturatedMaxWaitRequests_ * Work_.mean());
}

void AdmissionControl::refreshActiveWeight(base::TimePoint Now) noexcept {
  static constexpr base::Duration RefreshInterval =
      std::chrono::milliseconds(100);
  // A hundredth of a slot: one ordinary request of 20 ms in two seconds.
  static constexpr double MinUsage = 0.01;
  if (Now - ActiveAt_ < RefreshInterval)
    return;
  ActiveAt_ = Now;
  ActiveWeight_ = 0;
  for (CustomerIndex Each = 0; Each < Customers_.size(); ++Each) {
    Customers_[Each].Active_ = Queue_.sizeOf(Each) > 0 ||
                               Customers_[Each].Usage_.slots(Now) > MinUsage;
    if (Customers_[Each].Active_)
      ActiveWeight_ += Queue_.weightOf(Each);
  }
}

void AdmissionControl::updateSaturation(CustomerIndex Customer,
                                        base::TimePoint Now) noexcept {
  // Saturation starts above the first fraction and ends below the second. With
  // 100 ms of empty queue in a second a customer is not saturated; at 80% of
  // capacity queues are occupied a third of the time.
  static constexpr double SaturatedAbove = 0.9;
  static constexpr double RelievedBelow = 0.5;
  CustomerState &State = Customers_[Customer];
  State.Occupancy_.record(Queue_.sizeOf(Customer) > 0, Now,
                          Limits_.SaturationWindow_);
  if (State.Occupancy_.fraction() < RelievedBelow)
    State.SaturatedSince_.reset();
  if (State.Occupancy_.fraction() > SaturatedAbove && !State.SaturatedSince_)
    State.SaturatedSince_ = Now;
}

base::Duration AdmissionControl::expectedWait(CustomerIndex Customer,
                                              std::uint64_t Caller,
                                              base::TimePoint Now) const {
  // Requests are queued only while all slots are in use. The customer gets its
  // weighted share of the slots, or what the others leave if that is more.
  const double Capacity = std::max(1U, Running_);
  const double Others =
      Usage_.slots(Now) - Customers_[Customer].Usage_.slots(Now);
  const std::uint32_t Weight = Queue_.weightOf(Customer);
  const std::uint32_t AllWeight = std::max(
      Weight, ActiveWeight_ + (Customers_[Customer].Active_ ? 0 : Weight));
  const double Share = Capacity * Weight / AllWeight;
  const double Slots = std::min(Capacity, std::max(Share, Capacity - Others));
  const auto Ahead =
      static_cast<double>(Queue_.workAhead(Customer, Caller).count());
  return base::Duration(static_cast<std::int64_t>(Ahead / Slots));
}

std::optional<RefusalReason>
AdmissionControl::dropReason(const QueuedRequest &Request,
                             base::TimePoint Now) const noexcept {
  if (Now + Work_.mean() > Request.Deadline_)
    return RefusalReason::DeadlineExceeded;
  // Requests that arrived before the saturation belong to a burst and keep the
  // wait that was expected for them.
  const bool WaitedLong = Now - Request.Arrived_ > saturatedMaxWait();
  const auto &Since = Customers_[Request.Customer_].SaturatedSince_;
  if (WaitedLong && Since && Request.Arrived_ > *Since)
    return RefusalReason::Saturated;
  return std::nullopt;
}

AdmissionDecision AdmissionControl::refuse(RefusalReason Reason,
                                           base::Duration RetryAfter) {
  AdmissionDecision Decision;
  Decision.Action_ = Action::Refuse;
  Decision.Reason_ = Reason;
  Decision.RetryAfter_ = RetryAfter;
  return Decision;
}

DroppedRequest AdmissionControl::makeDropped(const QueuedRequest &Request,
                                             RefusalReason Reason,
                                             base::TimePoint Now) const {
  return {Request, Reason,
          expectedWait(Request.Customer_, Request.Caller_, Now)};
}

std::string_view nameOf(RefusalReason Reason) noexcept {
  static constexpr std::array<std::string_view, 7> Names = {
      "none",       "over-rate", "deadline-too-short", "wait-too-long",
      "queue-full", "saturated", "deadline-passed",
  };
  return Names[static_cast<std::size_t>(Reason)];
}

} // namespace lychee::admission
