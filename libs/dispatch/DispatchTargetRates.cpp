#include "dispatch/DispatchSteering.h"

#include <algorithm>

/// Rates of targets that all hosts share: of cold ones, and of those that state
/// what they take.
namespace lychee::dispatch {

using steering::SendOutcome;

namespace {

/// Wait told to a host that takes this one for the owner of a rate: until then
/// they agree on who it is.
constexpr base::Duration WrongOwnerWait = std::chrono::milliseconds(500);

/// \returns the newest MaxTargetRates.
std::vector<members::TargetRate>
newestOf(std::vector<members::TargetRate> Rates) {
  std::sort(
      Rates.begin(), Rates.end(),
      [](const members::TargetRate &Left, const members::TargetRate &Right) {
        return Left.Age_ < Right.Age_;
      });
  Rates.resize(std::min(Rates.size(), members::MaxTargetRates));
  return Rates;
}

} // namespace

bool DispatchSteering::mayUse(ServiceState &Service, TargetState &Target,
                              const InFlightRequest &Request,
                              TokenSource Source, Selection &Result,
                              base::TimePoint Now) {
  const bool MayProbe =
      !TargetChooser::needsProbe(Target, Now) ||
      (RateOwners_.ownerOf(Target.Hash_, Target.Region_, Now).Kind_ ==
           RateOwner::Kind::Self &&
       Target.ColdLimiter_.tryAcquire(Service.ColdRatePerSecond_, Now));
  return MayProbe && (!Target.StatedRate_.perSecond() ||
                      mayTakeToken(Target, Request, Source, Result, Now));
}

bool DispatchSteering::mayTakeToken(TargetState &Target,
                                    const InFlightRequest &Request,
                                    TokenSource Source, Selection &Result,
                                    base::TimePoint Now) {
  if (Request.GrantedTarget_ == Target.Record_.Id_)
    return true;
  if (Source == TokenSource::Nowhere)
    return false;
  StatedRateLimiter &Limiter = Target.StatedRate_;
  if (Now < Limiter.deniedUntil()) {
    Result.passOver(Limiter.deniedUntil() - Now);
    return false;
  }
  const RateOwner Owner =
      RateOwners_.ownerOf(Target.Hash_, Target.Region_, Now);
  if (Owner.Kind_ == RateOwner::Kind::Self) {
    const std::optional<base::Duration> Wait = Limiter.take(Now);
    Result.TookToken_ = !Wait;
    if (!Wait)
      return true;
    Limiter.recordDenial(Now + *Wait);
    Result.passOver(*Wait);
    return false;
  }
  const bool MayAsk = Owner.Kind_ == RateOwner::Kind::Other &&
                      Source == TokenSource::AnyHost &&
                      Request.TokenRequests_ < MaxTokenRequests;
  if (MayAsk)
    Result.TokenOwner_ = Owner.Address_;
  else
    Result.passOver(base::Duration::zero());
  return MayAsk;
}

TargetState *DispatchSteering::findTargetByStart(std::uint64_t StartKey) {
  for (auto &[Id, Service] : Services_)
    for (TargetState &Target : Service.Targets_)
      if (Target.StartKey_ == StartKey)
        return &Target;
  return nullptr;
}

std::optional<base::Duration>
DispatchSteering::grantTargetToken(const members::TargetRate &Known,
                                   base::TimePoint Now) {
  TargetState *Target = findTargetByStart(Known.Target_);
  if (Target == nullptr)
    return WrongOwnerWait;
  if (Target->StatedRate_.merge(Known, false, Now))
    Callbacks_.OnTargetRate_(
        {Target->Record_.Id_, Known.PerSecond_, true, Known.Age_});
  if (RateOwners_.ownerOf(Target->Hash_, Target->Region_, Now).Kind_ !=
      RateOwner::Kind::Self)
    return WrongOwnerWait;
  return Target->StatedRate_.take(Now);
}

void DispatchSteering::recordStatedRate(TargetState &Target,
                                        const steering::SendReport &Report,
                                        base::TimePoint Now) {
  if (Report.WrongTarget_)
    return;
  const bool EndsRate = Report.Outcome_ == SendOutcome::Answered &&
                        Report.Status_ < MinServerError;
  if (Target.StatedRate_.recordAnswer(Report.Statement_.Rate_, EndsRate,
                                      Now - Report.Took_, Now))
    Callbacks_.OnTargetRate_(
        {Target.Record_.Id_, Target.StatedRate_.perSecond(), false, {}});
}

std::vector<members::TargetRate>
DispatchSteering::announcedRates(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<members::TargetRate> Result;
  for (const auto &[Id, Service] : Services_)
    for (const TargetState &Target : Service.Targets_)
      if (Target.StatedRate_.isAnnounced(Now))
        Result.push_back(Target.StatedRate_.report(Target.StartKey_, Now));
  return newestOf(std::move(Result));
}

std::vector<members::TargetRate>
DispatchSteering::relayedRates(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  std::vector<members::TargetRate> Result;
  for (const auto &[Id, Service] : Services_)
    for (const TargetState &Target : Service.Targets_)
      if (Target.StatedRate_.isRelayed(Now))
        Result.push_back(Target.StatedRate_.report(Target.StartKey_, Now));
  return newestOf(std::move(Result));
}

void DispatchSteering::mergeTargetRates(
    std::span<const members::TargetRate> Announced, bool FromOwnRegion,
    base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  for (const members::TargetRate &Known : Announced) {
    TargetState *Target = findTargetByStart(Known.Target_);
    if (Target != nullptr &&
        Target->StatedRate_.merge(Known, FromOwnRegion, Now))
      Callbacks_.OnTargetRate_(
          {Target->Record_.Id_, Known.PerSecond_, true, Known.Age_});
  }
}

std::size_t DispatchSteering::limitedTargetCount() const {
  const std::lock_guard Guard(Lock_);
  std::size_t Count = 0;
  for (const auto &[Id, Service] : Services_)
    Count += static_cast<std::size_t>(
        std::count_if(Service.Targets_.begin(), Service.Targets_.end(),
                      [](const TargetState &Target) {
                        return Target.StatedRate_.perSecond().has_value();
                      }));
  return Count;
}

} // namespace lychee::dispatch
