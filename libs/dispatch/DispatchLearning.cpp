#include "dispatch/DispatchSteering.h"

#include <algorithm>

/// Learning from the outcome of sends: how long runs take, how loaded, slow or
/// healthy a target is, and which requests crash targets.
namespace lychee::dispatch {

using steering::SendOutcome;
using steering::SendReport;

namespace {

/// Weight of one answer in the slowness of a target: about the last five count.
constexpr double SlownessWeight = 0.2;
/// Bounds of a target's slowness, so that one outlier neither excludes a target
/// nor draws everything to it.
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 10;
/// A target that accepts no connection this soon after it lost a request went
/// down, and the request may have caused it.
constexpr base::Duration CrashDetectionTime = std::chrono::seconds(2);
constexpr std::size_t MaxLostRequests = 256;

} // namespace

void DispatchSteering::recordExecutionTime(const InFlightRequest &Request,
                                           TargetState &Target,
                                           const SendReport &Report) {
  ExecutionTimes &Times = executionTimesOf(Request);
  // Without the effect of the target's speed, which changes many times a second
  // and would be learned as the usual time of the rule or of the target.
  const double Factor =
      serviceState(Request.Service_)
          .Speeds_.ofRun(Request.RunTimeFactor_, Target.Speed_, Report.Took_);
  const double Measured = std::max(ExecutionTimes::MinRunSeconds,
                                   base::toSeconds(Report.Took_) / Factor);
  const double ExpectedWait = base::toSeconds(Request.ExpectedWait_) / Factor;
  const double ExpectedRun = Times.wasWarm(Measured, Request.KnownWarm_)
                                 ? Times.warmSeconds()
                                 : Times.coldSeconds();
  const double Ratio = std::clamp(Measured / (ExpectedRun + ExpectedWait),
                                  MinSlowness, MaxSlowness);
  Target.Slowness_ += SlownessWeight * (Ratio - Target.Slowness_);
  // Where requests are queued, this one most likely was, too; its wait is an
  // estimate, so at most half of the measured time is deducted.
  const bool Queued = Report.Load_ && Report.Load_->Waiting_ > 0;
  Times.record(Queued ? std::max(Measured - ExpectedWait, Measured / 2)
                      : Measured,
               Request.KnownWarm_);
}

void DispatchSteering::recordOutcome(const InFlightRequest &Request,
                                     TargetState *Target,
                                     const SendReport &Report,
                                     base::TimePoint Now) {
  if (Target == nullptr)
    return;
  Target->Load_.recordEnd();
  if (Report.Load_) {
    Target->Load_.recordReport(*Report.Load_, Now);
    ServiceState &Service = serviceState(Request.Service_);
    Service.RegionLoads_.recordReport(Target->Region_,
                                      Target->Load_.othersPerSlot(), Now);
    Service.Speeds_.record(Target->Speed_, Report.Load_->RunTimeFactor_, Now);
  }
  switch (Report.Outcome_) {
  case SendOutcome::Answered:
    CrashSuspects_.recordResponse(Request.Fingerprint_);
    if (Report.Status_ >= MinServerError) {
      Target->Health_.recordFailure(Now);
      break;
    }
    Target->Health_.recordAnswer(Now);
    recordExecutionTime(Request, *Target, Report);
    Target->RecentObjects_.record(Request.Object_, Now);
    break;
  case SendOutcome::Shed:
    Target->AddressReused_ = Target->AddressReused_ || Report.WrongTarget_;
    // A target that refuses with slots free is unhealthy, not full.
    if (Report.Load_ && Report.Load_->Running_ < Report.Load_->Slots_)
      Target->Health_.recordRefusal();
    else
      Target->Load_.recordRefusal(Target->Record_.Slots_, Now);
    break;
  case SendOutcome::ConnectFailed:
    Target->Health_.recordConnectFailure(Now);
    Reach_.recordConnectFailure(Target->StartKey_, Now);
    recordTargetDown(Target->Record_.Id_, Now);
    break;
  case SendOutcome::ClosedBeforeWrite:
  case SendOutcome::Withheld:
  case SendOutcome::CancelledBeforeWrite:
  case SendOutcome::Cancelled:
    break;
  case SendOutcome::LostAfterPartialWrite:
  case SendOutcome::LostBeforeResponse:
    Target->Health_.recordFailure(Now);
    if (!Report.TimedOut_)
      recordLoss(Request, Target->Record_.Id_, Now);
    // Something on the way may accept connections for the target and close
    // them.
    if (!Report.TimedOut_ && Report.NewConnection_)
      Reach_.recordConnectFailure(Target->StartKey_, Now);
    break;
  case SendOutcome::ResponseTruncated:
  case SendOutcome::ResponseInvalid:
    Target->Health_.recordFailure(Now);
    break;
  }
}

void DispatchSteering::recordLoss(const InFlightRequest &Request,
                                  const base::TargetId &Target,
                                  base::TimePoint Now) {
  if (LostRequests_.size() >= MaxLostRequests)
    LostRequests_.erase(LostRequests_.begin());
  LostRequests_.push_back({Request.Fingerprint_, Target, Now});
}

/// A lost answer alone is no evidence against its request, since answers get
/// lost. Only where the target is found down right after may the request have
/// crashed it.
void DispatchSteering::recordTargetDown(const base::TargetId &Target,
                                        base::TimePoint Now) {
  for (const LostRequest &Lost : LostRequests_)
    if (Lost.Target_ == Target && Now - Lost.Time_ < CrashDetectionTime)
      CrashSuspects_.recordTargetLoss(Lost.Fingerprint_, Target, Now);
  std::erase_if(LostRequests_, [&](const LostRequest &Lost) {
    return Lost.Target_ == Target || Now - Lost.Time_ >= CrashDetectionTime;
  });
}

} // namespace lychee::dispatch
