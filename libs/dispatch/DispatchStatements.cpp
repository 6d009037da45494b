#include "dispatch/DispatchSteering.h"

#include "steering/ReturnTime.h"

#include <algorithm>

/// What targets state in their answers, to this host or to others.
namespace lychee::dispatch {

using Kind = TargetStatementChange::Kind;

TargetState *DispatchSteering::findTargetByStart(std::uint64_t StartKey) {
  for (auto &[Id, Service] : Services_)
    for (TargetState &Target : Service.Targets_)
      if (Target.StartKey_ == StartKey)
        return &Target;
  return nullptr;
}

TargetStatements &DispatchSteering::statementsOf(TargetState &Target,
                                                 base::TimePoint Now) {
  if (!Target.Stated_)
    Target.Stated_ = Statements_.at(Target.StartKey_, Now);
  return *Target.Stated_;
}

void DispatchSteering::recordAnswerHead(std::uint64_t Ticket,
                                        const steering::AnswerHead &Head,
                                        base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  // Another target answers for itself, and not for the one expected there.
  if (Found == InFlight_.end() || Found->second.TriedTargets_.empty() ||
      !Found->second.SentToHost_.empty() || Head.WrongTarget_)
    return;
  const std::uint64_t Start = Found->second.SentTo_;
  const base::TargetId &Id = Found->second.TriedTargets_.back();
  const auto Stated = Head.Statement_.isEmpty() ? Statements_.find(Start)
                                                : Statements_.at(Start, Now);
  if (!Stated)
    return;
  if (TargetState *Target = findTargetByStart(Start))
    Target->Stated_ = Stated;
  const TargetStatements::Change Changed = Stated->recordAnswer(Head, Now);
  if (Changed.Rate_)
    Callbacks_.OnStatement_(
        {Kind::Rate, Id, Stated->rate().perSecond(), {}, false, {}});
  if (Changed.Rest_)
    Callbacks_.OnStatement_(
        {Kind::Rest, Id, {}, Stated->restUntil() - Now, false, {}});
  if (Changed.Leaving_)
    Callbacks_.OnStatement_({Kind::Leaving, Id, {}, {}, false, {}});
}

std::optional<base::Duration>
DispatchSteering::returnAfterRest(const InFlightRequest &Request,
                                  base::TimePoint Now) {
  const std::optional<base::Duration> First =
      TargetChooser::firstRestEnd(Request.Homes_ ? &*Request.Homes_ : nullptr,
                                  serviceState(Request.Service_).Targets_, Now);
  if (!First)
    return std::nullopt;
  return steering::returnAfterRest(*First, Random_);
}

// Announcements.

std::vector<members::TargetRate>
DispatchSteering::announcedRates(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Statements_.rates(&Announcement::isAnnounced, Now);
}

std::vector<members::TargetRate>
DispatchSteering::relayedRates(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Statements_.rates(&Announcement::isRelayed, Now);
}

std::vector<members::TargetLeaving>
DispatchSteering::announcedLeavings(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Statements_.leavings(&Announcement::isAnnounced, Now);
}

std::vector<members::TargetLeaving>
DispatchSteering::relayedLeavings(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  return Statements_.leavings(&Announcement::isRelayed, Now);
}

void DispatchSteering::mergeRate(TargetState &Target,
                                 const members::TargetRate &Known,
                                 bool FromOwnRegion, base::TimePoint Now) {
  if (statementsOf(Target, Now).rate().merge(Known, FromOwnRegion, Now))
    Callbacks_.OnStatement_({Kind::Rate,
                             Target.Record_.Id_,
                             Known.PerSecond_,
                             {},
                             true,
                             Known.Age_});
}

void DispatchSteering::mergeTargetRates(
    std::span<const members::TargetRate> Announced, bool FromOwnRegion,
    base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  for (const members::TargetRate &Known : Announced)
    if (TargetState *Target = findTargetByStart(Known.Target_))
      mergeRate(*Target, Known, FromOwnRegion, Now);
}

void DispatchSteering::mergeTargetLeavings(
    std::span<const members::TargetLeaving> Announced, bool FromOwnRegion,
    base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  for (const members::TargetLeaving &Known : Announced) {
    TargetState *Target = findTargetByStart(Known.Target_);
    TargetStatements *Stated = Target != nullptr
                                   ? &statementsOf(*Target, Now)
                                   : Statements_.atUnknown(Known.Target_, Now);
    if (Stated != nullptr && Stated->mergeLeaving(Known, FromOwnRegion, Now) &&
        Target != nullptr)
      Callbacks_.OnStatement_(
          {Kind::Leaving, Target->Record_.Id_, {}, {}, true, Known.Age_});
  }
}

// Counts.

std::size_t DispatchSteering::countTargets(
    const std::function<bool(const TargetState &)> &Selected) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Count = 0;
  for (const auto &[Id, Service] : Services_)
    Count += static_cast<std::size_t>(std::count_if(
        Service.Targets_.begin(), Service.Targets_.end(), Selected));
  return Count;
}

std::size_t DispatchSteering::limitedTargetCount() const {
  return countTargets(
      [](const TargetState &Target) { return Target.statesRate(); });
}

std::size_t DispatchSteering::restingTargetCount(base::TimePoint Now) const {
  return countTargets(
      [Now](const TargetState &Target) { return Target.isResting(Now); });
}

std::size_t DispatchSteering::ejectedTargetCount(base::TimePoint Now) const {
  return countTargets([Now](const TargetState &Target) {
    return Target.Health_.isEjected(Now);
  });
}

steering::TargetCounts
DispatchSteering::targetCountsFor(const InFlightRequest &Request,
                                  base::TimePoint Now) {
  const auto *Homes = Request.Homes_ ? &*Request.Homes_ : nullptr;
  steering::TargetCounts Counts;
  for (const TargetState &Target : serviceState(Request.Service_).Targets_) {
    if (!TargetChooser::isInUse(Target) ||
        !TargetChooser::isInHomes(Homes, Target))
      continue;
    ++Counts.InUse_;
    if (Target.Health_.isEjected(Now))
      ++Counts.Ejected_;
    else if (Target.Health_.isOnProbation(Now))
      ++Counts.OnProbation_;
  }
  return Counts;
}

} // namespace lychee::dispatch
