#include "placement/TargetHealth.h"

#include <algorithm>

namespace lychee::placement {

namespace {

/// Weight of one sample: the last eight or so count.
constexpr double SampleWeight = 1.0 / 8;

} // namespace

void TargetHealth::observe(Outcome Seen, base::Duration Took) noexcept {
  if (Seen == Outcome::Cancelled)
    return;
  if (Seen == Outcome::Unreachable) {
    ++UnreachableInRow_;
    return;
  }
  UnreachableInRow_ = 0;
  if (Seen == Outcome::Shed)
    return;
  const double IsFaulty = Seen == Outcome::Faulty ? 1 : 0;
  Faulty_ += (IsFaulty - Faulty_) * SampleWeight;
  const bool First = Samples_ == 0;
  ++Samples_;
  if (Seen != Outcome::Success)
    return;
  const auto Step = static_cast<double>((Took - Latency_).count());
  Latency_ +=
      First ? Took
            : base::Duration(static_cast<std::int64_t>(Step * SampleWeight));
}

TargetHealth::Sign
TargetHealth::sign(base::Duration MedianLatency) const noexcept {
  if (UnreachableInRow_ >= UnreachableInRow)
    return Sign::Unreachable;
  if (Samples_ < LeastSamples)
    return Sign::None;
  if (Faulty_ > FaultyShare)
    return Sign::Faulty;
  const bool Known = MedianLatency > base::Duration::zero();
  if (Known &&
      base::toSeconds(Latency_) > SlowFactor * base::toSeconds(MedianLatency))
    return Sign::Slow;
  return Sign::None;
}

base::TimePoint TargetHealth::eject(base::TimePoint Now) noexcept {
  // Ejections long past say little about this one.
  static constexpr base::Duration Forgotten = 2 * LongestEjection;
  if (Now - EjectedUntil_ > Forgotten)
    Ejections_ = 0;
  static constexpr std::uint32_t MostDoublings = 5;
  const auto Doublings = std::min(Ejections_, MostDoublings);
  ++Ejections_;
  EjectedUntil_ =
      Now + std::min(LongestEjection, FirstEjection * (1U << Doublings));
  // What was seen before says nothing of the target that comes back; one more
  // unreachable send is enough to take it out again.
  SlowSince_ = EjectedUntil_;
  Samples_ = 0;
  Faulty_ = 0;
  Latency_ = {};
  UnreachableInRow_ = std::min(UnreachableInRow_, UnreachableInRow - 1);
  return EjectedUntil_;
}

std::uint32_t TargetHealth::usableSlots(std::uint32_t Slots,
                                        base::TimePoint Now) const noexcept {
  const auto Open = static_cast<std::uint32_t>(passedPart(Now) * Slots);
  return std::clamp(Open + 1, 1U, Slots);
}

std::uint32_t TargetHealth::usableShare(std::uint32_t Share, double Place,
                                        base::TimePoint Now) const noexcept {
  // A third from the start on: about one slot of three or four.
  static constexpr double LeastPart = 0.34;
  const double Part = std::max(LeastPart, passedPart(Now));
  return std::min(Share, static_cast<std::uint32_t>(Part * Share + Place));
}

double TargetHealth::passedPart(base::TimePoint Now) const noexcept {
  return std::clamp(
      base::toSeconds(Now - SlowSince_) / base::toSeconds(SlowStart), 0.0, 1.0);
}

} // namespace lychee::placement
