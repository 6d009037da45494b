#include "placement/TargetPool.h"

#include <algorithm>
#include <cassert>

namespace lychee::placement {

namespace {

using Trust = PoolState::Trust;

/// One request at a time finds out whether a lost pool is back.
constexpr base::Duration ProbePace = std::chrono::milliseconds(500);

void pass(TargetChoice &Choice, TargetIndex Target, std::string_view Reason) {
  if (Choice.PassedCount_ < TargetChoice::MostPassed)
    Choice.Passed_[Choice.PassedCount_++] = {Target, Reason};
}

void take(TargetChoice &Choice, TargetIndex Target, std::string_view Reason) {
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
  const bool Divided = Entries_[Active_.front()].Share_.has_value();
  if (Limits_.PreferHomeSlots_ && !Divided &&
      tryHome(Excluded, Now, Random, Choice))
    return Choice;
  if (tryTwo(Active_, Excluded, Now, Random, Choice))
    return Choice;
  if (tryScan(Excluded, Now, Random, Choice))
    return Choice;
  Choice.Reason_ = "all-full";
  return Choice;
}

bool TargetPool::mayUse(TargetIndex Target,
                        std::span<const TargetIndex> Excluded,
                        base::TimePoint Now,
                        TargetChoice &Choice) const noexcept {
  if (contains(Excluded, Target)) {
    pass(Choice, Target, "just-tried");
    return false;
  }
  if (Now >= SuspectUntil_ && Entries_[Target].Health_.isEjected(Now)) {
    pass(Choice, Target, "ejected");
    return false;
  }
  return true;
}

TargetPool::Weighed TargetPool::weigh(TargetIndex Target,
                                      base::TimePoint Now) const noexcept {
  const Entry &Each = Entries_[Target];
  const std::uint32_t Usable = Each.Health_.usableSlots(Each.Slots_, Now);
  if (Each.Share_) {
    const std::uint32_t Mine =
        Each.Health_.usableShare(*Each.Share_, Each.Place_, Now);
    const bool Room = Each.Own_ < Mine && Now >= Each.FullUntil_;
    return {Target, static_cast<double>(Each.Own_) / Usable, Room};
  }
  const double Load = load(Target, Now);
  // Others' part is an estimate.
  const bool Free =
      Each.Own_ < Usable && Load + 1 + Limits_.FreeSlotMargin_ <= Usable;
  return {Target, Load / Usable, Free};
}

std::uint32_t TargetPool::freeShare(TargetIndex Target,
                                    base::TimePoint Now) const noexcept {
  const Entry &Each = Entries_[Target];
  if (Each.Health_.isEjected(Now) || Now < Each.FullUntil_)
    return 0;
  const std::uint32_t Mine =
      Each.Share_ ? Each.Health_.usableShare(*Each.Share_, Each.Place_, Now)
                  : Each.Health_.usableSlots(Each.Slots_, Now);
  return Mine > Each.Own_ ? Mine - Each.Own_ : 0;
}

bool TargetPool::tryHome(std::span<const TargetIndex> Excluded,
                         base::TimePoint Now, base::Random &Random,
                         TargetChoice &Choice) const noexcept {
  if (Homes_.empty())
    return false;
  const auto Count = static_cast<std::uint32_t>(Homes_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Target = Homes_[(Start + Step) % Count];
    const Entry &Each = Entries_[Target];
    if (Each.Own_ >=
        std::min(Each.Home_, Each.Health_.usableSlots(Each.Slots_, Now)))
      continue;
    if (!mayUse(Target, Excluded, Now, Choice))
      continue;
    // What peers said of it is too old to keep a host from its own slots: that
    // left whole hosts waiting beside free targets. Its own shed is not.
    if (Now < Each.FullUntil_)
      continue;
    take(Choice, Target, "home");
    return true;
  }
  return false;
}

bool TargetPool::tryTwo(std::span<const TargetIndex> From,
                        std::span<const TargetIndex> Excluded,
                        base::TimePoint Now, base::Random &Random,
                        TargetChoice &Choice) const noexcept {
  const auto Count = static_cast<std::uint32_t>(From.size());
  const TargetIndex First = From[base::drawBelow(Random, Count)];
  const TargetIndex Second = From[base::drawBelow(Random, Count)];
  Weighed Best;
  for (const TargetIndex Target : {First, Second}) {
    if (!mayUse(Target, Excluded, Now, Choice))
      continue;
    const Weighed Drawn = weigh(Target, Now);
    if (!Drawn.Free_) {
      pass(Choice, Target, "full");
      continue;
    }
    if (!Best.Free_ || Drawn.Load_ < Best.Load_)
      Best = Drawn;
  }
  if (!Best.Free_)
    return false;
  if (First != Second && First != Best.Target_)
    pass(Choice, First, "more-load");
  if (First != Second && Second != Best.Target_)
    pass(Choice, Second, "more-load");
  take(Choice, Best.Target_,
       Now < SuspectUntil_ ? "suspect-measurement" : "two-choices");
  return true;
}

bool TargetPool::tryScan(std::span<const TargetIndex> Excluded,
                         base::TimePoint Now, base::Random &Random,
                         TargetChoice &Choice) const noexcept {
  const auto Count = static_cast<std::uint32_t>(Active_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  Weighed Best;
  for (std::uint32_t Step = 0; Step < std::min(Count, Limits_.MaxScanned_);
       ++Step) {
    const TargetIndex Target = Active_[(Start + Step) % Count];
    if (!mayUse(Target, Excluded, Now, Choice))
      continue;
    const Weighed Seen = weigh(Target, Now);
    if (Seen.Free_ && (!Best.Free_ || Seen.Load_ < Best.Load_))
      Best = Seen;
  }
  if (!Best.Free_)
    return false;
  take(Choice, Best.Target_,
       Now < SuspectUntil_ ? "suspect-measurement" : "scan");
  return true;
}

TargetChoice TargetPool::probe(base::TimePoint Now,
                               base::Random &Random) noexcept {
  TargetChoice Choice;
  Choice.Reason_ = "all-lost";
  if (Now - LastProbe_ < ProbePace)
    return Choice;
  const auto Count = static_cast<std::uint32_t>(Active_.size());
  const std::uint32_t Start = base::drawBelow(Random, Count);
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Target = Active_[(Start + Step) % Count];
    const Entry &Each = Entries_[Target];
    // A probe needs a slot like any request: when the pool comes back, all
    // hosts' probes and the work that others begin meet there.
    if (Each.Own_ >= Each.Share_.value_or(Each.Slots_))
      continue;
    LastProbe_ = Now;
    take(Choice, Target, "probe");
    return Choice;
  }
  return Choice;
}

void TargetPool::recordStart(TargetIndex Target) noexcept {
  ++Entries_[Target].Own_;
  ++OwnTotal_;
}

void TargetPool::recordFinish(TargetIndex Target, Outcome Seen,
                              base::Duration Took,
                              base::TimePoint Now) noexcept {
  Entry &Each = Entries_[Target];
  assert(Each.Own_ > 0 && "what ends was started");
  --Each.Own_;
  --OwnTotal_;
  Each.Health_.observe(Seen, Took);
  if (Seen == Outcome::Cancelled)
    return;
  if (Seen == Outcome::Unreachable) {
    ++UnreachableSinceAnswer_;
  } else {
    UnreachableSinceAnswer_ = 0;
    LastAnswer_ = Now;
  }
  if (Seen == Outcome::Shed) {
    // Full until about one of its requests has ended.
    static constexpr base::Duration Unmeasured = std::chrono::milliseconds(20);
    Each.FullUntil_ =
        Now +
        (MedianLatency_ > base::Duration::zero() ? MedianLatency_ : Unmeasured);
    // A target that sheds has no free slot, whatever it reported.
    if (Each.Report_.Load_ < Each.Slots_)
      Each.Report_.Trust_ /= 2;
  }
  judge(Target, Now);
}

void TargetPool::recordReport(TargetIndex Target, std::uint32_t Load,
                              base::TimePoint MeasuredAt) noexcept {
  Entry &Each = Entries_[Target];
  if (MeasuredAt <= Each.Report_.At_)
    return;
  // Trust comes back slowly: a liar must not win it with one report.
  static constexpr float TrustRegained = 0.1F;
  const bool First = Each.Report_.At_ == base::TimePoint();
  const float TrustNow =
      First ? 1.0F : std::min(1.0F, Each.Report_.Trust_ + TrustRegained);
  // More than twice its slots tells no more than "full": a lie of a thousand
  // would keep the target idle long after.
  Each.Report_ = {MeasuredAt, std::min(Load, 2 * Each.Slots_), Each.Own_,
                  TrustNow};
}

double TargetPool::load(TargetIndex Target,
                        base::TimePoint Now) const noexcept {
  const Entry &Each = Entries_[Target];
  double Weight = 0;
  double Others = othersWithoutReport(Target, Weight, Now);
  const Report &Told = Each.Report_;
  if (Told.Trust_ > 0 && Told.At_ != base::TimePoint()) {
    // What runs at a target has changed about once after one request's time;
    // a report as old as that is worth half of one made now.
    const double Age =
        base::toSeconds(Now - Told.At_) /
        base::toSeconds(MedianLatency_ + std::chrono::milliseconds(10));
    const double TellsOthers =
        Told.Load_ > Told.Own_ ? Told.Load_ - Told.Own_ : 0;
    const double ReportWeight = Told.Trust_ / (1 + std::max(0.0, Age));
    Others = (Others * Weight + TellsOthers * ReportWeight) /
             (Weight + ReportWeight);
  }
  const double Load = Each.Own_ + Others;
  return Now < Each.FullUntil_ ? std::max<double>(Load, Each.Slots_) : Load;
}

double TargetPool::othersWithoutReport(TargetIndex Target, double &Weight,
                                       base::TimePoint Now) const noexcept {
  const double Targets =
      static_cast<double>(std::max<std::size_t>(1, Active_.size()));
  // A silent peer is taken to do as the mean of the hosts that are heard, this
  // one among them.
  const double Heard = Peers_.heardPeers();
  const double MeanHost = (Peers_.total() + OwnTotal_) / (Heard + 1);
  const double Silent = Peers_.silentPeers() * MeanHost / Targets;
  const double Prior = Peers_.total() / Targets;
  // The pool's mean counts a little beside what is known of this target, and
  // alone when that has become old.
  static constexpr double PriorWeight = 0.1;
  double HeardWeight = 0;
  if (Heard > 0) {
    const double Age =
        base::toSeconds(Peers_.age(Now)) /
        base::toSeconds(MedianLatency_ + std::chrono::milliseconds(10));
    HeardWeight = 1 / (1 + Age);
  }
  Weight = PriorWeight + HeardWeight;
  return Silent +
         (Prior * PriorWeight + Peers_.at(Target) * HeardWeight) / Weight;
}

} // namespace lychee::placement
