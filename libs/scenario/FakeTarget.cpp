#include "scenario/FakeTarget.h"

#include <algorithm>
#include <utility>

namespace lychee::scenario {

FakeTarget::FakeTarget(EventQueue &Events, std::uint32_t Slots,
                       std::uint32_t Connections, RunListener Began)
    : Events_(Events), Slots_(Slots), Connections_(Connections),
      Began_(std::move(Began)) {}

void FakeTarget::accept(TargetJob Job, base::Random &Source) {
  if (Down_ || load() >= Connections_)
    return Job.Done_(steering::SendOutcome::ConnectFailed);
  if (Silent_)
    return;
  if (Sheds_ > 0 && base::drawUnit(Source) < Sheds_)
    return Job.Done_(steering::SendOutcome::Shed);
  if (Running_.size() < Slots_)
    return begin(std::move(Job));
  Queue_.push_back(std::move(Job));
}

void FakeTarget::abandon(std::uint64_t Send) {
  std::erase_if(Queue_,
                [&](const TargetJob &Job) { return Job.Send_ == Send; });
  // Running work sees the closed connection and gives its slot up, unheard.
  std::erase_if(Running_,
                [&](const TargetJob &Job) { return Job.Send_ == Send; });
  beginNext();
}

void FakeTarget::setDown(bool Down) {
  Down_ = Down;
  if (!Down)
    return;
  std::vector<TargetJob> Lost = std::exchange(Running_, {});
  std::ranges::move(Queue_, std::back_inserter(Lost));
  Queue_.clear();
  for (const TargetJob &Job : Lost)
    Job.Done_(steering::SendOutcome::LostBeforeResponse);
}

void FakeTarget::begin(TargetJob Job) {
  ++Job.Request_->Runs_;
  Began_(*Job.Request_);
  const std::uint64_t Send = Job.Send_;
  const bool Poison = Job.Request_->Poison_;
  const base::Duration Work =
      base::fromSeconds(base::toSeconds(Job.Work_) * Slow_);
  Running_.push_back(std::move(Job));
  if (Poison)
    return crash();
  Events_.after(Work, [this, Send] { end(Send); });
}

void FakeTarget::end(std::uint64_t Send) {
  const auto Found = std::ranges::find(Running_, Send, &TargetJob::Send_);
  if (Found == Running_.end())
    return;
  const TargetJob Ended = std::move(*Found);
  Running_.erase(Found);
  if (!Silent_)
    Ended.Done_(steering::SendOutcome::Answered);
  beginNext();
}

void FakeTarget::crash() {
  ++Crashes_;
  setDown(true);
  Events_.after(RestartTime, [this] { setDown(false); });
}

void FakeTarget::beginNext() {
  while (!Down_ && !Queue_.empty() && Running_.size() < Slots_) {
    TargetJob Next = std::move(Queue_.front());
    Queue_.pop_front();
    begin(std::move(Next));
  }
}

} // namespace lychee::scenario
