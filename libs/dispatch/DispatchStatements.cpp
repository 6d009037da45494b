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

void DispatchSteering::recordAnswerHead(std::uint64_t Ticket,
                                        const steering::AnswerHead &Head,
                                        base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  const auto Found = InFlight_.find(Ticket);
  if (Found == InFlight_.end() || Found->second.SentTo_ == nullptr)
    return;
  TargetStatements &Stated = *Found->second.SentTo_;
  const base::TargetId &Target = Found->second.TriedTargets_.back();
  const TargetStatements::Change Changed = Stated.recordAnswer(Head, Now);
  if (Changed.Rate_)
    Callbacks_.OnStatement_(
        {Kind::Rate, Target, Stated.rate().perSecond(), {}, false, {}});
  if (Changed.Rest_)
    Callbacks_.OnStatement_(
        {Kind::Rest, Target, {}, Stated.restUntil() - Now, false, {}});
  if (Changed.Leaving_)
    Callbacks_.OnStatement_({Kind::Leaving, Target, {}, {}, false, {}});
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
  if (Target.Stated_->rate().merge(Known, FromOwnRegion, Now))
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
    TargetStatements *Stated = Statements_.findOrAdd(Known.Target_, Now);
    if (Stated == nullptr || !Stated->mergeLeaving(Known, FromOwnRegion, Now))
      continue;
    if (const TargetState *Target = findTargetByStart(Known.Target_))
      Callbacks_.OnStatement_(
          {Kind::Leaving, Target->Record_.Id_, {}, {}, true, Known.Age_});
  }
}

// Counts.

std::size_t DispatchSteering::countTargets(
    const std::function<bool(const TargetStatements &)> &Selected) const {
  const std::lock_guard Guard(Lock_);
  std::size_t Count = 0;
  for (const auto &[Id, Service] : Services_)
    Count += static_cast<std::size_t>(
        std::count_if(Service.Targets_.begin(), Service.Targets_.end(),
                      [&Selected](const TargetState &Target) {
                        return Selected(*Target.Stated_);
                      }));
  return Count;
}

std::size_t DispatchSteering::limitedTargetCount() const {
  return countTargets([](const TargetStatements &Stated) {
    return Stated.rate().perSecond().has_value();
  });
}

std::size_t DispatchSteering::restingTargetCount(base::TimePoint Now) const {
  return countTargets(
      [Now](const TargetStatements &Stated) { return Stated.isResting(Now); });
}

} // namespace lychee::dispatch
