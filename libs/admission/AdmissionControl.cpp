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
  const CustomerIndex Index = Queue_.enrol(Customer, Weight);
  if (Index >= Records_.size())
    Records_.resize(Index + 1);
  return Index;
}

AdmissionDecision AdmissionControl::admit(const AdmissionRequest &Request,
                                          base::TimePoint Now) {
  if (!Request.Rate_.Allowed_)
    return refuse(RefusalReason::RateLimited, Request.Rate_.RetryAfter_);
  if (Now + Work_.mean() > Request.Deadline_)
    return refuse(RefusalReason::DeadlineTooShort, {});
  // Room goes to whoever waits, or a newcomer would overtake the line.
  if (!Request.HasCapacity_ || Queue_.size() > 0)
    return judgeWait(Request, Now);
  ++Running_;
  AdmissionDecision Verdict;
  Verdict.Action_ = Action::Admit;
  Verdict.ExpectedWork_ = Work_.mean();
  return Verdict;
}

AdmissionDecision AdmissionControl::judgeWait(const AdmissionRequest &Request,
                                              base::TimePoint Now) {
  notePressure(Request.Customer_, Now);
  const base::Duration Wait =
      expectedWait(Request.Customer_, Request.Caller_, Now);
  if (Queue_.sizeOf(Request.Customer_) >= Limits_.MostWaiting_)
    return refuse(RefusalReason::QueueFull, Wait);

  base::Duration Longest = Request.Deadline_ - Now - Work_.mean();
  RefusalReason TooLong = RefusalReason::WaitTooLong;
  const bool Saturated =
      Records_[Request.Customer_].SaturatedSince_.has_value();
  if (Saturated && shortWait() < Longest) {
    Longest = shortWait();
    TooLong = RefusalReason::Saturated;
  }
  // Newest first, a newcomer does not wait for what is in line already.
  const bool Overtakes =
      TooLong == RefusalReason::Saturated && Limits_.NewestFirst_;
  if (!Overtakes && Wait > Longest)
    return refuse(TooLong, Wait - Longest);

  QueuedRequest Waiter;
  Waiter.Ticket_ = Request.Ticket_;
  Waiter.Customer_ = Request.Customer_;
  Waiter.Caller_ = Request.Caller_;
  Waiter.Arrived_ = Now;
  Waiter.Deadline_ = Request.Deadline_;
  Waiter.Work_ = Work_.mean();
  AdmissionDecision Verdict;
  Verdict.Action_ = Action::Wait;
  Verdict.Position_ = Queue_.push(Waiter);
  Verdict.ExpectedWait_ = Wait;
  Verdict.ExpectedWork_ = Waiter.Work_;
  return Verdict;
}

std::optional<QueuedRequest>
AdmissionControl::dequeue(base::TimePoint Now,
                          std::vector<DroppedRequest> &Left) {
  const auto NewestFirst = [this](CustomerIndex Customer) {
    return Limits_.NewestFirst_ && Records_[Customer].SaturatedSince_;
  };
  while (auto Chosen = Queue_.pop(NewestFirst)) {
    if (const auto Reason = mustLeave(*Chosen, Now)) {
      Queue_.settle(Chosen->Customer_, Chosen->Caller_, Chosen->Work_, {});
      Left.push_back(giveUp(*Chosen, *Reason, Now));
      continue;
    }
    ++Running_;
    return Chosen;
  }
  return std::nullopt;
}

QueuePosition AdmissionControl::requeue(const QueuedRequest &Request) {
  assert(Running_ > 0 && "only a request that was given out is put back");
  --Running_;
  Queue_.settle(Request.Customer_, Request.Caller_, Request.Work_, {});
  return Queue_.push(Request);
}

void AdmissionControl::recordCompletion(CustomerIndex Customer,
                                        std::uint64_t Caller,
                                        base::Duration Expected,
                                        base::Duration Took, bool Measured,
                                        base::TimePoint Now) noexcept {
  assert(Running_ > 0 && "only a request that was let in can end");
  --Running_;
  Queue_.settle(Customer, Caller, Expected, Took);
  Records_[Customer].Usage_.add(Took, Now);
  Usage_.add(Took, Now);
  if (Measured)
    Work_.add(Took);
}

void AdmissionControl::expire(base::TimePoint Now,
                              std::vector<DroppedRequest> &Left) {
  refreshActive(Now);
  if (Queue_.size() == 0)
    return;
  for (CustomerIndex Each = 0; Each < Records_.size(); ++Each)
    notePressure(Each, Now);
  Scratch_.clear();
  Queue_.removeIf(
      [this, Now](const QueuedRequest &Each) {
        return mustLeave(Each, Now).has_value();
      },
      Scratch_);
  for (const QueuedRequest &Each : Scratch_)
    Left.push_back(
        giveUp(Each, mustLeave(Each, Now).value_or(RefusalReason::None), Now));
}

base::Duration AdmissionControl::shortWait() const noexcept {
  return std::max(Limits_.SaturatedMaxWait_,
                  Limits_.ShortWaitWorks_ * Work_.mean());
}

void AdmissionControl::refreshActive(base::TimePoint Now) noexcept {
  static constexpr base::Duration Pace = std::chrono::milliseconds(100);
  // A hundredth of a slot: one ordinary request in two seconds.
  static constexpr double LeastUsage = 0.01;
  if (Now - ActiveAt_ < Pace)
    return;
  ActiveAt_ = Now;
  ActiveWeight_ = 0;
  for (CustomerIndex Each = 0; Each < Records_.size(); ++Each) {
    Records_[Each].Active_ = Queue_.sizeOf(Each) > 0 ||
                             Records_[Each].Usage_.slots(Now) > LeastUsage;
    if (Records_[Each].Active_)
      ActiveWeight_ += Queue_.weightOf(Each);
  }
}

void AdmissionControl::notePressure(CustomerIndex Customer,
                                    base::TimePoint Now) noexcept {
  // With 100 ms of gaps in the last second a line no longer stands; at 80% of
  // capacity lines stand a third of the time.
  static constexpr double Standing = 0.9;
  static constexpr double Relieved = 0.5;
  Record &Own = Records_[Customer];
  Own.Pressure_.note(Queue_.sizeOf(Customer) > 0, Now,
                     Limits_.SaturationWindow_);
  if (Own.Pressure_.part() < Relieved)
    Own.SaturatedSince_.reset();
  if (Own.Pressure_.part() > Standing && !Own.SaturatedSince_)
    Own.SaturatedSince_ = Now;
}

base::Duration AdmissionControl::expectedWait(CustomerIndex Customer,
                                              std::uint64_t Caller,
                                              base::TimePoint Now) const {
  // Whoever waits does so because all the room there is runs something. Of it
  // the customer gets its share, or what the others leave where that is more.
  const double Room = std::max(1U, Running_);
  const double Others =
      Usage_.slots(Now) - Records_[Customer].Usage_.slots(Now);
  const std::uint32_t Weight = Queue_.weightOf(Customer);
  const std::uint32_t AllWeight = std::max(
      Weight, ActiveWeight_ + (Records_[Customer].Active_ ? 0 : Weight));
  const double Share = Room * Weight / AllWeight;
  const double Slots = std::min(Room, std::max(Share, Room - Others));
  const auto Ahead =
      static_cast<double>(Queue_.workAhead(Customer, Caller).count());
  return base::Duration(static_cast<std::int64_t>(Ahead / Slots));
}

std::optional<RefusalReason>
AdmissionControl::mustLeave(const QueuedRequest &Request,
                            base::TimePoint Now) const noexcept {
  if (Now + Work_.mean() > Request.Deadline_)
    return RefusalReason::DeadlineExceeded;
  // What came before is a burst and was promised its wait.
  const bool WaitedLong = Now - Request.Arrived_ > shortWait();
  const auto &Since = Records_[Request.Customer_].SaturatedSince_;
  if (WaitedLong && Since && Request.Arrived_ > *Since)
    return RefusalReason::Saturated;
  return std::nullopt;
}

AdmissionDecision AdmissionControl::refuse(RefusalReason Reason,
                                           base::Duration RetryAfter) {
  AdmissionDecision Verdict;
  Verdict.Action_ = Action::Refuse;
  Verdict.Reason_ = Reason;
  Verdict.RetryAfter_ = RetryAfter;
  return Verdict;
}

DroppedRequest AdmissionControl::giveUp(const QueuedRequest &Request,
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
