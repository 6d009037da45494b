#include "gateway/FakeSteering.h"

namespace lychee::tests {

using steering::Decision;
using steering::SendOutcome;

Decision FakeSteering::send(std::uint64_t Number) {
  Decision Made;
  Made.Action_ = Decision::Action::Send;
  Made.Ticket_ = Number;
  Made.Address_ = Addresses_[Next_++ % Addresses_.size()];
  if (Made.Address_ == HostAddress_) {
    Made.Host_ = base::HostId("other");
    Made.SendsLeft_ = 2;
  } else {
    Made.Target_ = base::TargetId(Made.Address_);
  }
  ++Sent_[Number].Sends_;
  return Made;
}

Decision FakeSteering::arrive(const steering::Request &Arrived,
                              base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  ++Arrivals_;
  Decision Made;
  if (RefuseAll_ != steering::Refusal::None) {
    Made.Refusal_ = RefuseAll_;
    Made.RetryAfter_ = std::chrono::milliseconds(1500);
    return Made;
  }
  const std::uint64_t Number = ++LastTicket_;
  const Ticket Described{Arrived.Idempotent_, 0, Arrived.Deadline_};
  if (Limit_ > 0 && Sent_.size() >= Limit_) {
    Waiting_.push_back(Number);
    WaitingTickets_[Number] = Described;
    Made.Action_ = Decision::Action::Wait;
    Made.Ticket_ = Number;
    Made.WaitUntil_ = Now + WaitLimit_;
    return Made;
  }
  Sent_[Number] = Described;
  return send(Number);
}

Decision FakeSteering::finish(std::uint64_t Number,
                              const steering::SendReport &Report,
                              base::TimePoint,
                              std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  Reports_.push_back(Report);
  const Ticket Described = Sent_[Number];
  const bool NotRun = Report.Outcome_ == SendOutcome::Shed ||
                      Report.Outcome_ == SendOutcome::ConnectFailed ||
                      Report.Outcome_ == SendOutcome::ClosedBeforeWrite ||
                      Report.Outcome_ == SendOutcome::Withheld;
  const bool FailedItself = RetriesFailures_ &&
                            Report.Outcome_ == SendOutcome::Answered &&
                            Report.Status_ >= 500;
  const bool Over = Report.Outcome_ == SendOutcome::Answered ||
                    Report.Outcome_ == SendOutcome::Cancelled;
  if ((!Over || FailedItself) && !Report.AnswerStarted_ &&
      (NotRun || Described.Idempotent_) && Described.Sends_ < MaximumSends_)
    return send(Number);
  Sent_.erase(Number);
  wake(Woken);
  Decision Made;
  Made.Refusal_ = steering::Refusal::TargetFailed;
  Made.Ran_ = NotRun ? steering::Ran::No : steering::Ran::Maybe;
  return Made;
}

void FakeSteering::wake(std::vector<steering::Wakeup> &Woken) {
  while (!Waiting_.empty() && Sent_.size() < Limit_) {
    const std::uint64_t Number = Waiting_.front();
    Waiting_.pop_front();
    Sent_[Number] = WaitingTickets_[Number];
    WaitingTickets_.erase(Number);
    Woken.push_back({Number, send(Number)});
  }
}

void FakeSteering::recordAnswerHead(std::uint64_t,
                                    const steering::AnswerHead &Head,
                                    base::TimePoint) {
  const std::lock_guard Guard(Lock_);
  Heads_.push_back(Head);
}

std::vector<steering::AnswerHead> FakeSteering::heads() const {
  const std::lock_guard Guard(Lock_);
  return Heads_;
}

void FakeSteering::cancel(std::uint64_t Number, base::TimePoint) {
  const std::lock_guard Guard(Lock_);
  std::erase(Waiting_, Number);
  WaitingTickets_.erase(Number);
}

void FakeSteering::tick(base::TimePoint Now,
                        std::vector<steering::Wakeup> &Woken) {
  const std::lock_guard Guard(Lock_);
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    if (WaitingTickets_[*Each].Deadline_ > Now) {
      ++Each;
      continue;
    }
    Decision Late;
    Late.Refusal_ = steering::Refusal::DeadlineExceeded;
    Woken.push_back({*Each, Late});
    WaitingTickets_.erase(*Each);
    Each = Waiting_.erase(Each);
  }
}

std::vector<steering::SendReport> FakeSteering::reports() const {
  const std::lock_guard Guard(Lock_);
  return Reports_;
}

std::vector<SendOutcome> FakeSteering::ends() const {
  std::vector<SendOutcome> Ends;
  for (const steering::SendReport &Each : reports())
    Ends.push_back(Each.Outcome_);
  return Ends;
}

std::size_t FakeSteering::openTickets() const {
  const std::lock_guard Guard(Lock_);
  return Sent_.size();
}

std::size_t FakeSteering::waiting() const {
  const std::lock_guard Guard(Lock_);
  return Waiting_.size();
}

int FakeSteering::arrivals() const {
  const std::lock_guard Guard(Lock_);
  return Arrivals_;
}

} // namespace lychee::tests
