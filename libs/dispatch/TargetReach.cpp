#include "dispatch/TargetReach.h"

#include <algorithm>

namespace lychee::dispatch {

void TargetReach::recordConnectFailure(std::uint64_t Target,
                                       base::TimePoint Now) {
  std::erase_if(Failures_, [Now](const auto &Entry) {
    return Now - Entry.second > FailureMemory;
  });
  if (Failures_.empty() && Reached_)
    FailingSince_ = Now;
  Failures_[Target] = Now;
}

bool TargetReach::isSuspicious(base::TimePoint Now) const noexcept {
  const auto Recent = std::count_if(
      Failures_.begin(), Failures_.end(),
      [Now](const auto &Entry) { return Now - Entry.second <= FailureMemory; });
  return static_cast<std::size_t>(Recent) >= SuspiciousTargets;
}

bool TargetReach::wantsRound(base::TimePoint Now) const noexcept {
  const bool Running = PendingProbes_ > 0 && Now - RoundBeganAt_ < RoundTimeout;
  if (Running || Now - RoundBeganAt_ < RoundInterval)
    return false;
  return !Reached_ || isSuspicious(Now);
}

std::size_t TargetReach::beginRound(std::size_t Available,
                                    base::TimePoint Now) {
  if (Available == 0 || !wantsRound(Now))
    return 0;
  ++Round_;
  RoundBeganAt_ = Now;
  PendingProbes_ =
      std::min(Available, Reached_ ? SuspicionProbes : ReturnProbes);
  return PendingProbes_;
}

TargetReach::Change TargetReach::recordProbe(std::uint64_t Round,
                                             bool Connected,
                                             base::TimePoint Now) {
  if (Round != Round_ || PendingProbes_ == 0)
    return Change::None;
  --PendingProbes_;
  if (Connected) {
    PendingProbes_ = 0;
    return succeed(Now);
  }
  return PendingProbes_ == 0 ? fail(Now) : Change::None;
}

TargetReach::Change TargetReach::succeed(base::TimePoint Now) {
  Failures_.clear();
  if (Reached_)
    return Change::None;
  if (!HoldingSince_)
    HoldingSince_ = Now;
  if (Now - *HoldingSince_ < Hold_)
    return Change::None;
  Reached_ = true;
  RegainedAt_ = Now;
  return Change::Regained;
}

TargetReach::Change TargetReach::fail(base::TimePoint Now) {
  HoldingSince_.reset();
  if (!Reached_)
    return Change::None;
  const bool Flaps = RegainedAt_ && Now - *RegainedAt_ < FlapTime;
  Hold_ = Flaps ? std::clamp(Hold_ * 2, FirstHold, MaxHold) : base::Duration{};
  Reached_ = false;
  return Change::Lost;
}

double TargetReach::ownShare(base::TimePoint Now) const noexcept {
  if (!Reached_)
    return 0;
  if (!RegainedAt_ || Now - *RegainedAt_ >= RampTime)
    return 1;
  return base::toSeconds(Now - *RegainedAt_) / base::toSeconds(RampTime);
}

} // namespace lychee::dispatch
