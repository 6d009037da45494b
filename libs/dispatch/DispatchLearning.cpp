#include "dispatch/DispatchSteering.h"

#include <algorithm>

/// What a dispatch learns from how a send ended: how long runs take, how busy,
/// slow or ill a target is, and which requests end targets.
namespace lychee::dispatch {

using steering::SendOutcome;
using steering::SendReport;

namespace {

/// Weight of one answer in the slowness of a target: the last five count.
constexpr double SlownessWeight = 0.2;
/// Bounds of a target's slowness, so that one strange answer neither shuts a
/// target out nor draws everything to it.
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 10;
/// A target that takes no connection this soon after it lost a request was
/// down, and the request may be why.
constexpr base::Duration DownAfterLoss = std::chrono::seconds(2);
constexpr std::size_t MostLosses = 256;

} // namespace

void DispatchSteering::learnTime(const Flight &Request, TargetState &Target,
                                 const SendReport &Report) {
  WorkTimes &Work = workOf(Request);
  const double Seen =
      std::max(WorkTimes::LeastRunSeconds, base::toSeconds(Report.Took_));
  const double Waited = base::toSeconds(Request.Waiting_);
  const double Run = Work.wasWarm(Seen, Request.KnownWarm_)
                         ? Work.warmSeconds()
                         : Work.coldSeconds();
  const double Ratio =
      std::clamp(Seen / (Run + Waited), LeastSlowness, MostSlowness);
  Target.Slowness_ += SlownessWeight * (Ratio - Target.Slowness_);
  // Where others wait this one most likely did, too; how long is an estimate,
  // so it takes no more than half of what was seen away.
  const bool Queued = Report.Load_ && Report.Load_->Waiting_ > 0;
  Work.seen(Queued ? std::max(Seen - Waited, Seen / 2) : Seen,
            Request.KnownWarm_);
}

void DispatchSteering::learn(const Flight &Request, TargetState *Target,
                             const SendReport &Report, base::TimePoint Now) {
  if (Target == nullptr)
    return;
  Target->Load_.ended();
  if (Report.Load_) {
    Target->Load_.reported(*Report.Load_, Now);
    serviceAt(Request.Service_)
        .Loads_.reported(Target->Region_, Target->Load_.othersPerSlot(), Now);
  }
  switch (Report.Outcome_) {
  case SendOutcome::Answered:
    Suspects_.recordResponse(Request.Fingerprint_);
    if (Report.Status_ >= FirstServerFailure) {
      Target->Trust_.failed(Now);
      break;
    }
    Target->Trust_.answered(Now);
    learnTime(Request, *Target, Report);
    Target->Warm_.handled(Request.Object_, Now);
    break;
  case SendOutcome::Shed:
    Target->AddressTaken_ = Target->AddressTaken_ || Report.WrongTarget_;
    // One that refuses with slots free is ill, not full.
    if (Report.Load_ && Report.Load_->Running_ < Report.Load_->Slots_)
      Target->Trust_.refused();
    else
      Target->Load_.refused(Target->Record_.Slots_, Now);
    break;
  case SendOutcome::ConnectFailed:
    Target->Trust_.unreachable(Now);
    noteDown(Target->Record_.Id_, Now);
    break;
  case SendOutcome::ClosedBeforeWrite:
  case SendOutcome::CancelledBeforeWrite:
  case SendOutcome::Cancelled:
    break;
  case SendOutcome::LostAfterPartialWrite:
  case SendOutcome::LostBeforeResponse:
    Target->Trust_.failed(Now);
    if (!Report.TimedOut_)
      noteLoss(Request, Target->Record_.Id_, Now);
    break;
  case SendOutcome::ResponseTruncated:
  case SendOutcome::ResponseInvalid:
    Target->Trust_.failed(Now);
    break;
  }
}

void DispatchSteering::noteLoss(const Flight &Request,
                                const base::TargetId &Target,
                                base::TimePoint Now) {
  if (Losses_.size() >= MostLosses)
    Losses_.erase(Losses_.begin());
  Losses_.push_back({Request.Fingerprint_, Target, Now});
}

/// A lost answer alone does not speak against its request: answers get lost.
/// Only where the target is found down right after did something end it.
void DispatchSteering::noteDown(const base::TargetId &Target,
                                base::TimePoint Now) {
  for (const Loss &Each : Losses_)
    if (Each.Target_ == Target && Now - Each.At_ < DownAfterLoss)
      Suspects_.recordTargetLoss(Each.Fingerprint_, Target, Now);
  std::erase_if(Losses_, [&](const Loss &Each) {
    return Each.Target_ == Target || Now - Each.At_ >= DownAfterLoss;
  });
}

} // namespace lychee::dispatch
