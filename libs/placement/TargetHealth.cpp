#include "placement/TargetHealth.h"

#include <algorithm>

namespace lychee::placement {

namespace {

/// Weight of one sample in the moving averages: about the last eight samples
/// count.
constexpr double SampleWeight = 1.0 / 8;

} // namespace

void TargetHealth::observe(Outcome Result, base::Duration Latency) noexcept {
  if (Result == Outcome::Cancelled)
    return;
  if (Result == Outcome::Unreachable) {
    ++ConsecutiveUnreachable_;
    return;
  }
  ConsecutiveUnreachable_ = 0;
  if (Result == Outcome::Shed)
    return;
  const double IsFaulty = Result == Outcome::Faulty ? 1 : 0;
  FaultyShare_ += (IsFaulty - FaultyShare_) * SampleWeight;
  const bool IsFirst = Samples_ == 0;
  ++Samples_;
  if (Result != Outcome::Success)
    return;
  const auto Deviation = static_cast<double>((Latency - Latency_).count());
  Latency_ +=
      IsFirst
          ? Latency
          : base::Duration(static_cast<std::int64_t>(Deviation * SampleWeight));
}

TargetHealth::Symptom
TargetHealth::symptom(base::Duration MedianLatency) const noexcept {
  if (ConsecutiveUnreachable_ >= UnreachableThreshold)
    return Symptom::Unreachable;
  if (Samples_ < MinSamples)
    return Symptom::None;
  if (FaultyShare_ > FaultyThreshold)
    return Symptom::Faulty;
  const bool IsMedianKnown = MedianLatency > base::Duration::zero();
  if (IsMedianKnown &&
      base::toSeconds(Latency_) > SlowFactor * base::toSeconds(MedianLatency))
    return Symptom::Slow;
  return Symptom::None;
}

base::TimePoint TargetHealth::eject(base::TimePoint Now) noexcept {
  // An ejection that ended long ago says little about the present one.
  static constexpr base::Duration MemoryTime = 2 * MaxEjectionTime;
  if (Now - EjectedUntil_ > MemoryTime)
    EjectionCount_ = 0;
  static constexpr std::uint32_t MaxDoublings = 5;
  const auto Doublings = std::min(EjectionCount_, MaxDoublings);
  ++EjectionCount_;
  EjectedUntil_ =
      Now + std::min(MaxEjectionTime, BaseEjectionTime * (1U << Doublings));
  // Earlier samples say nothing about the target that returns. One more
  // unreachable send is enough to eject it again.
  SlowStartBegin_ = EjectedUntil_;
  Samples_ = 0;
  FaultyShare_ = 0;
  Latency_ = {};
  ConsecutiveUnreachable_ =
      std::min(ConsecutiveUnreachable_, UnreachableThreshold - 1);
  return EjectedUntil_;
}

std::uint32_t TargetHealth::usableSlots(std::uint32_t Slots,
                                        base::TimePoint Now) const noexcept {
  const auto OpenSlots =
      static_cast<std::uint32_t>(slowStartProgress(Now) * Slots);
  return std::clamp(OpenSlots + 1, 1U, Slots);
}

std::uint32_t TargetHealth::usableShare(std::uint32_t Share, double HostRank,
                                        base::TimePoint Now) const noexcept {
  // A third from the beginning: about one slot of three or four.
  static constexpr double MinProgress = 0.34;
  const double Progress = std::max(MinProgress, slowStartProgress(Now));
  return std::min(Share,
                  static_cast<std::uint32_t>(Progress * Share + HostRank));
}

double TargetHealth::slowStartProgress(base::TimePoint Now) const noexcept {
  return std::clamp(base::toSeconds(Now - SlowStartBegin_) /
                        base::toSeconds(SlowStartWindow),
                    0.0, 1.0);
}

} // namespace lychee::placement
