#include "admission/AdmissionControl.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace lychee::admission {

namespace {

using Action = AdmissionVerdict::Action;

} // namespace

AdmissionVerdict AdmissionControl::arrive(const Arrival &Request,
                                          base::TimePoint Now) {
  if (!Request.Rate_.Allowed_)
    return refuse(Cause::OverRate, Request.Rate_.RetryAfter_);
  if (Now + Work_.mean() > Request.Deadline_)
    return refuse(Cause::DeadlineTooShort, {});
  // Room goes to whoever waits, or a newcomer would overtake the line.
  if (!Request.Room_ || Queue_.size() > 0)
    return judgeWait(Request, Now);
  ++Running_;
  AdmissionVerdict Verdict;
  Verdict.Action_ = Action::Go;
  Verdict.ExpectedWork_ = Work_.mean();
  return Verdict;
}

AdmissionVerdict AdmissionControl::judgeWait(const Arrival &Request,
                                             base::TimePoint Now) {
  const base::Duration Wait = expectedWait(Request);
  if (Queue_.sizeOf(Request.Customer_) >= Limits_.MostWaiting_)
    return refuse(Cause::QueueFull, Wait);

  base::Duration Longest = Request.Deadline_ - Now - Work_.mean();
  Cause TooLong = Cause::WaitTooLong;
  if (isSaturated(Request.Customer_, Now) && Limits_.ShortWait_ < Longest) {
    Longest = Limits_.ShortWait_;
    TooLong = Cause::Saturated;
  }
  // Newest first, a newcomer does not wait for what is in line already.
  const bool Overtakes = TooLong == Cause::Saturated && Limits_.NewestFirst_;
  if (!Overtakes && Wait > Longest)
    return refuse(TooLong, Wait - Longest);

  Waiting Waiter;
  Waiter.Ticket_ = Request.Ticket_;
  Waiter.Customer_ = Request.Customer_;
  Waiter.Caller_ = Request.Caller_;
  Waiter.Arrived_ = Now;
  Waiter.Deadline_ = Request.Deadline_;
  Waiter.Work_ = Work_.mean();
  AdmissionVerdict Verdict;
  Verdict.Action_ = Action::Wait;
  Verdict.Place_ = Queue_.push(Waiter, Now);
  Verdict.ExpectedWait_ = Wait;
  Verdict.ExpectedWork_ = Waiter.Work_;
  return Verdict;
}

std::optional<Waiting> AdmissionControl::next(base::TimePoint Now,
                                              std::vector<GivenUp> &Left) {
  const auto NewestFirst = [this, Now](CustomerIndex Customer) {
    return Limits_.NewestFirst_ && isSaturated(Customer, Now);
  };
  while (auto Chosen = Queue_.pop(NewestFirst)) {
    if (const auto Reason = mustLeave(*Chosen, Now)) {
      Queue_.settle(Chosen->Customer_, Chosen->Caller_, Chosen->Work_, {});
      Left.push_back(giveUp(*Chosen, *Reason));
      continue;
    }
    ++Running_;
    return Chosen;
  }
  return std::nullopt;
}

Place AdmissionControl::putBack(const Waiting &Request, base::TimePoint Now) {
  assert(Running_ > 0 && "only a request that was given out is put back");
  --Running_;
  Queue_.settle(Request.Customer_, Request.Caller_, Request.Work_, {});
  return Queue_.push(Request, Now);
}

void AdmissionControl::finished(CustomerIndex Customer, std::uint64_t Caller,
                                base::Duration Expected, base::Duration Took,
                                bool Measured) noexcept {
  assert(Running_ > 0 && "only a request that was let in can end");
  --Running_;
  Queue_.settle(Customer, Caller, Expected, Took);
  if (Measured)
    Work_.add(Took);
}

void AdmissionControl::expire(base::TimePoint Now, std::vector<GivenUp> &Left) {
  if (Queue_.size() == 0)
    return;
  Scratch_.clear();
  Queue_.removeIf(
      [this, Now](const Waiting &Each) {
        return mustLeave(Each, Now).has_value();
      },
      Scratch_);
  for (const Waiting &Each : Scratch_)
    Left.push_back(giveUp(Each, mustLeave(Each, Now).value_or(Cause::None)));
}

bool AdmissionControl::isSaturated(CustomerIndex Customer,
                                   base::TimePoint Now) const noexcept {
  const auto Since = Queue_.busySince(Customer);
  return Since && Now - *Since > Limits_.SaturatedAfter_;
}

base::Duration AdmissionControl::expectedWait(const Arrival &Request) const {
  // Whoever waits does so because all the room there is runs something: what
  // runs now tells how much is served at once.
  return Queue_.workAhead(Request.Customer_, Request.Caller_) /
         std::max(1U, Running_);
}

std::optional<Cause>
AdmissionControl::mustLeave(const Waiting &Request,
                            base::TimePoint Now) const noexcept {
  if (Now + Work_.mean() > Request.Deadline_)
    return Cause::DeadlinePassed;
  // What came before is a burst and was promised its wait.
  const bool WaitedLong = Now - Request.Arrived_ > Limits_.ShortWait_;
  if (WaitedLong && isSaturated(Request.Customer_, Request.Arrived_))
    return Cause::Saturated;
  return std::nullopt;
}

AdmissionVerdict AdmissionControl::refuse(Cause Reason,
                                          base::Duration RetryAfter) const {
  AdmissionVerdict Verdict;
  Verdict.Action_ = Action::Refuse;
  Verdict.Cause_ = Reason;
  Verdict.RetryAfter_ = RetryAfter;
  return Verdict;
}

GivenUp AdmissionControl::giveUp(const Waiting &Request, Cause Reason) const {
  const base::Duration RetryAfter =
      Queue_.workAhead(Request.Customer_, Request.Caller_) /
      std::max(1U, Running_);
  return {Request, Reason, RetryAfter};
}

std::string_view nameOf(Cause Reason) noexcept {
  static constexpr std::array<std::string_view, 7> Names = {
      "none",       "over-rate", "deadline-too-short", "wait-too-long",
      "queue-full", "saturated", "deadline-passed",
  };
  return Names[static_cast<std::size_t>(Reason)];
}

} // namespace lychee::admission
