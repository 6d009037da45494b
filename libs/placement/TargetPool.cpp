#include "placement/TargetPool.h"

#include <algorithm>
#include <cassert>

namespace lychee::placement {

namespace {

using Trust = PoolState::Trust;

/// Interval between the probes that find out whether a lost pool answers again.
constexpr base::Duration ProbeInterval = std::chrono::milliseconds(500);

void addPassedOver(TargetChoice &Choice, TargetIndex Target,
                   std::string_view Reason) {
  if (Choice.PassedOverCount_ < TargetChoice::MaxPassedOver)
    Choice.PassedOver_[Choice.PassedOverCount_++] = {Target, Reason};
}

void setTarget(TargetChoice &Choice, TargetIndex Target,
               std::string_view Reason) {
  Choice.Target_ = Target;
  Choice.Reason_ = Reason;
}

bool contains(std::span<const TargetIndex> Targets,
              TargetIndex Target) noexcept {
  return std::find(Targets.begin(), Targets.end(), Target) != Targets.end();
}

} // namespace

TargetChoice TargetPool::choose(std::span<const TargetIndex> Excluded,
                                base::TimePoint Now, base::Random &Random) {
  TargetChoice Choice;
  if (Active_.empty()) {
    Choice.Reason_ = "no-target";
    return Choice;
  }
  if (trust(Now) == Trust::Lost)
    return probe(Now, Random);
  const bool IsDivided = Targets_[Active_.front()].SlotShare_.has_value();
  if (Limits_.PreferHomeSlots_ && !IsDivided &&
      tryHomeSlots(Excluded, Now, Random, Choice))
    return Choice;
  if (tryTwoChoices(Active_, Excluded, Now, Random, Choice))
    return Choice;
  if (tryScan(Excluded, Now, Random, Choice))
    return Choice;
  Choice.Reason_ = "all-full";
  return Choice;
}

bool TargetPool::isEligible(TargetIndex Target,
                            std::span<const TargetIndex> Excluded,
                            base::TimePoint Now,
                            TargetChoice &Choice) const noexcept {
  if (contains(Excluded, Target)) {
    addPassedOver(Choice, Target, "just-tried");
    return false;
  }
  if (isResting(Target, Now)) {
    addPassedOver(Choice, Target, "resting");
    return false;
  }
  if (Now >= SuspectUntil_ && Targets_[Target].Health_.isEjected(Now)) {
    addPassedOver(Choice, Target, "ejected");
    return false;
  }
  return true;
}

TargetPool::Candidate TargetPool::evaluate(TargetIndex Target,
                                           base::TimePoint Now) const noexcept {
  const TargetState &State = Targets_[Target];
  const std::uint32_t Usable = State.Health_.usableSlots(State.Slots_, Now);
  if (State.SlotShare_) {
    const std::uint32_t OwnSlots =
        State.Health_.usableShare(*State.SlotShare_, State.SlowStartRank_, Now);
    const bool HasFreeSlot =
        State.OwnInFlight_ < OwnSlots && Now >= State.AssumedFullUntil_;
    return {Target, static_cast<double>(State.OwnInFlight_) / Usable,
            HasFreeSlot};
  }
  const double Load = load(Target, Now);
  // Other hosts' load is an estimate.
  const bool HasFreeSlot = State.OwnInFlight_ < Usable &&
                           Load + 1 + Limits_.FreeSlotMargin_ <= Usable;
  return {Target, Load / Usable, HasFreeSlot};
}

std::uint32_t TargetPool::freeSlots(TargetIndex Target,
                                    base::TimePoint Now) const noexcept {
  const TargetState &State = Targets_[Target];
  if (State.Health_.isEjected(Now) || isResting(Target, Now) ||
      Now < State.AssumedFullUntil_)
    return 0;
  const std::uint32_t OwnSlots =
      State.SlotShare_ ? State.Health_.usableShare(*State.SlotShare_,
                                                   State.SlowStartRank_, Now)
                       : State.Health_.usableSlots(State.Slots_, Now);
  return OwnSlots > State.OwnInFlight_ ? OwnSlots - State.OwnInFlight_ : 0;
}

bool TargetPool::tryHomeSlots(std::span<const TargetIndex> Excluded,
                              base::TimePoint Now, base::Random &Random,
                              TargetChoice &Choice) const noexcept {
  if (HomeTargets_.empty())
    return false;
  const auto Count = static_cast<std::uint32_t>(HomeTargets_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Target = HomeTargets_[(Start + Step) % Count];
    const TargetState &State = Targets_[Target];
    if (State.OwnInFlight_ >=
        std::min(State.HomeSlots_,
                 State.Health_.usableSlots(State.Slots_, Now)))
      continue;
    if (!isEligible(Target, Excluded, Now, Choice))
      continue;
    // Peers' reports are too old to keep a host from its own slots: obeying
    // them left whole hosts waiting beside free targets. A shed that this host
    // saw itself counts.
    if (Now < State.AssumedFullUntil_)
      continue;
    setTarget(Choice, Target, "home");
    return true;
  }
  return false;
}

bool TargetPool::tryTwoChoices(std::span<const TargetIndex> From,
                               std::span<const TargetIndex> Excluded,
                               base::TimePoint Now, base::Random &Random,
                               TargetChoice &Choice) const noexcept {
  const auto Count = static_cast<std::uint32_t>(From.size());
  const TargetIndex First = From[base::drawBelow(Random, Count)];
  const TargetIndex Second = From[base::drawBelow(Random, Count)];
  Candidate Best;
  for (const TargetIndex Target : {First, Second}) {
    if (!isEligible(Target, Excluded, Now, Choice))
      continue;
    const Candidate Drawn = evaluate(Target, Now);
    if (!Drawn.HasFreeSlot_) {
      addPassedOver(Choice, Target, "full");
      continue;
    }
    if (!Best.HasFreeSlot_ || Drawn.Load_ < Best.Load_)
      Best = Drawn;
  }
  if (!Best.HasFreeSlot_)
    return false;
  if (First != Second && First != Best.Target_)
    addPassedOver(Choice, First, "more-load");
  if (First != Second && Second != Best.Target_)
    addPassedOver(Choice, Second, "more-load");
  setTarget(Choice, Best.Target_,
            Now < SuspectUntil_ ? "suspect-measurement" : "two-choices");
  return true;
}

bool TargetPool::tryScan(std::span<const TargetIndex> Excluded,
                         base::TimePoint Now, base::Random &Random,
                         TargetChoice &Choice) const noexcept {
  const auto Count = static_cast<std::uint32_t>(Active_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  Candidate Best;
  for (std::uint32_t Step = 0; Step < std::min(Count, Limits_.MaxScanned_);
       ++Step) {
    const TargetIndex Target = Active_[(Start + Step) % Count];
    if (!isEligible(Target, Excluded, Now, Choice))
      continue;
    const Candidate Scanned = evaluate(Target, Now);
    if (Scanned.HasFreeSlot_ &&
        (!Best.HasFreeSlot_ || Scanned.Load_ < Best.Load_))
      Best = Scanned;
  }
  if (!Best.HasFreeSlot_)
    return false;
  setTarget(Choice, Best.Target_,
            Now < SuspectUntil_ ? "suspect-measurement" : "scan");
  return true;
}

TargetChoice TargetPool::probe(base::TimePoint Now,
                               base::Random &Random) noexcept {
  TargetChoice Choice;
  Choice.Reason_ = "all-lost";
  if (Now - LastProbe_ < ProbeInterval)
    return Choice;
  const auto Count = static_cast<std::uint32_t>(Active_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Target = Active_[(Start + Step) % Count];
    const TargetState &State = Targets_[Target];
    // A probe needs a slot like any request: when the pool recovers, the probes
    // of all hosts and the first requests meet there.
    if (State.OwnInFlight_ >= State.SlotShare_.value_or(State.Slots_) ||
        isResting(Target, Now))
      continue;
    LastProbe_ = Now;
    setTarget(Choice, Target, "probe");
    return Choice;
  }
  return Choice;
}

void TargetPool::recordStart(TargetIndex Target) noexcept {
  ++Targets_[Target].OwnInFlight_;
  ++OwnInFlightTotal_;
}

void TargetPool::recordFinish(TargetIndex Target, Outcome Result,
                              base::Duration Latency,
                              base::TimePoint Now) noexcept {
  TargetState &State = Targets_[Target];
  assert(State.OwnInFlight_ > 0 && "a request that ends was started");
  --State.OwnInFlight_;
  --OwnInFlightTotal_;
  State.Health_.observe(Result, Latency);
  if (Result == Outcome::Cancelled)
    return;
  if (Result == Outcome::Unreachable) {
    ++UnreachableSinceAnswer_;
  } else {
    UnreachableSinceAnswer_ = 0;
    LastAnswer_ = Now;
  }
  if (Result == Outcome::Shed) {
    // Assumed to be full until about one of its requests has ended.
    static constexpr base::Duration DefaultLatency =
        std::chrono::milliseconds(20);
    State.AssumedFullUntil_ =
        Now + (MedianLatency_ > base::Duration::zero() ? MedianLatency_
                                                       : DefaultLatency);
    // A target that sheds has no free slot, so a report of free slots is wrong.
    if (State.Report_.Load_ < State.Slots_)
      State.Report_.Confidence_ /= 2;
  }
  updateEjection(Target, Now);
}

void TargetPool::recordRest(TargetIndex Target,
                            base::TimePoint Until) noexcept {
  TargetState &State = Targets_[Target];
  State.RestUntil_ = std::max(State.RestUntil_, Until);
}

void TargetPool::recordReport(TargetIndex Target, std::uint32_t Load,
                              base::TimePoint MeasuredAt) noexcept {
  TargetState &State = Targets_[Target];
  if (MeasuredAt <= State.Report_.MeasuredAt_)
    return;
  // Confidence returns slowly: one report must not restore it for a target
  // whose reports are wrong.
  static constexpr float ConfidenceGain = 0.1F;
  const bool First = State.Report_.MeasuredAt_ == base::TimePoint();
  const float Confidence =
      First ? 1.0F : std::min(1.0F, State.Report_.Confidence_ + ConfidenceGain);
  // A load above twice the slots means no more than "full"; a wrong report of a
  // thousand would keep the target idle long afterwards.
  State.Report_ = {MeasuredAt, std::min(Load, 2 * State.Slots_),
                   State.OwnInFlight_, Confidence};
}

double TargetPool::load(TargetIndex Target,
                        base::TimePoint Now) const noexcept {
  const TargetState &State = Targets_[Target];
  double Weight = 0;
  double Others = estimateFromPeers(Target, Weight, Now);
  const LoadReport &Report = State.Report_;
  if (Report.Confidence_ > 0 && Report.MeasuredAt_ != base::TimePoint()) {
    // The requests at a target change about once per request duration; a report
    // of that age gets half the weight of a new one.
    const double Age =
        base::toSeconds(Now - Report.MeasuredAt_) /
        base::toSeconds(MedianLatency_ + std::chrono::milliseconds(10));
    const double ReportedOthers = Report.Load_ > Report.OwnInFlight_
                                      ? Report.Load_ - Report.OwnInFlight_
                                      : 0;
    const double ReportWeight = Report.Confidence_ / (1 + std::max(0.0, Age));
    Others = (Others * Weight + ReportedOthers * ReportWeight) /
             (Weight + ReportWeight);
  }
  const double Load = State.OwnInFlight_ + Others;
  return Now < State.AssumedFullUntil_ ? std::max<double>(Load, State.Slots_)
                                       : Load;
}

double TargetPool::estimateFromPeers(TargetIndex Target, double &Weight,
                                     base::TimePoint Now) const noexcept {
  const double Targets =
      static_cast<double>(std::max<std::size_t>(1, Active_.size()));
  // A silent peer is assumed to carry the mean load of the reporting hosts,
  // this one included.
  const double Reporting = Peers_.reportingPeers();
  const double MeanHost =
      (Peers_.total() + OwnInFlightTotal_) / (Reporting + 1);
  const double Silent = Peers_.silentPeers() * MeanHost / Targets;
  const double Prior = Peers_.total() / Targets;
  // The pool's mean has a small weight beside what is known of this target, and
  // decides alone once that is old.
  static constexpr double PriorWeight = 0.1;
  double ReportingWeight = 0;
  if (Reporting > 0) {
    const double Age =
        base::toSeconds(Peers_.meanAge(Now)) /
        base::toSeconds(MedianLatency_ + std::chrono::milliseconds(10));
    ReportingWeight = 1 / (1 + Age);
  }
  Weight = PriorWeight + ReportingWeight;
  return Silent +
         (Prior * PriorWeight + Peers_.inFlightAt(Target) * ReportingWeight) /
             Weight;
}

} // namespace lychee::placement
