#include "dispatch/DispatchSteering.h"

/// Rates of targets that all hosts share: of cold ones, and of those that state
/// what they take.
namespace lychee::dispatch {

namespace {

/// Wait told to a host that takes this one for the owner of a rate: until then
/// they agree on who it is.
constexpr base::Duration WrongOwnerWait = std::chrono::milliseconds(500);

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
  return MayProbe && (!Target.statesRate() ||
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
  StatedRateLimiter &Limiter = Target.Stated_->rate();
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

std::optional<base::Duration>
DispatchSteering::grantTargetToken(const members::TargetRate &Known,
                                   base::TimePoint Now) {
  TargetState *Target = findTargetByStart(Known.Target_);
  if (Target == nullptr)
    return WrongOwnerWait;
  mergeRate(*Target, Known, false, Now);
  if (RateOwners_.ownerOf(Target->Hash_, Target->Region_, Now).Kind_ !=
      RateOwner::Kind::Self)
    return WrongOwnerWait;
  return Target->Stated_ ? Target->Stated_->rate().take(Now) : std::nullopt;
}

} // namespace lychee::dispatch
