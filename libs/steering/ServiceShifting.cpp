// Shift plans of one service at one host.
#include "steering/ServiceSteering.h"

#include <algorithm>
#include <utility>

namespace lychee::steering {

namespace {

using State = shifting::ShiftPlan::State;

/// Interval between steps of the plans; their own step intervals are seconds at
/// the least.
constexpr base::Duration StepInterval = std::chrono::milliseconds(500);

State stateOf(settings::ShiftPlan::State Declared) noexcept {
  switch (Declared) {
  case settings::ShiftPlan::State::Running:
    return State::Running;
  case settings::ShiftPlan::State::Held:
    return State::Held;
  case settings::ShiftPlan::State::Aborted:
    return State::Aborted;
  }
  return State::Held;
}

shifting::ShiftPlan initialPlan(const settings::ShiftPlan &Declared) {
  shifting::ShiftPlan Plan;
  Plan.Id_ = Declared.Id_;
  Plan.From_ = Declared.From_;
  Plan.To_ = Declared.To_;
  Plan.Cap_ = Declared.Cap_;
  Plan.Step_ = Declared.Step_;
  Plan.Pace_ = Declared.Pace_;
  Plan.StateSince_ = Declared.Start_;
  return Plan;
}

shifting::ShiftPlan withState(const shifting::ShiftPlan &Plan, State NewState,
                              base::WallPoint Wall) {
  if (Plan.State_ == NewState)
    return Plan;
  if (NewState == State::Running)
    return shifting::resumePlan(Plan, Wall);
  return NewState == State::Held ? shifting::holdPlan(Plan, Wall)
                                 : shifting::abortPlan(Plan, Wall);
}

} // namespace

void ServiceSteering::setWallOffset(base::Duration Offset) {
  const std::scoped_lock Guard(Lock_);
  WallOffset_ = Offset;
}

void ServiceSteering::setPlans(const settings::Intent &Intent,
                               base::TimePoint Now) {
  const base::WallPoint Wall(Now.time_since_epoch() + WallOffset_);
  const auto Old = std::exchange(PlanStates_, {});
  std::vector<shifting::ShiftPlan> Plans;
  for (const auto &[Id, Declared] : Intent.Plans_) {
    if (Declared.Service_ != Service_)
      continue;
    const auto Known = Old.find(Id);
    shifting::ShiftPlan Plan = initialPlan(Declared);
    if (Known != Old.end()) {
      Plan.State_ = Known->second.State_;
      Plan.StateSince_ = Known->second.StateSince_;
      Plan.ReachedShare_ = Known->second.ReachedShare_;
    }
    Plans.push_back(withState(Plan, stateOf(Declared.State_), Wall));
    PlanStates_[Id] = Plans.back();
  }
  ShiftPlans_.setPlans(Plans);
}

RegionPool *ServiceSteering::applyShifts(PendingRequest &Pending,
                                         RegionPool &Home,
                                         base::TimePoint Now) {
  if (ShiftPlans_.empty() || Pending.Sends_ > 0)
    return &Home;
  const shifting::ShiftChoice Chosen = ShiftPlans_.route(
      Pending.Request_.CallerHash_, Home.region(),
      [&](const base::RegionId &Region) { return takeHeadroom(Region, Now); });
  RegionPool *Moved = poolOf(Chosen.Region_);
  Pending.IsShifted_ = Moved && !Chosen.Plan_.empty();
  return Pending.IsShifted_ ? Moved : &Home;
}

bool ServiceSteering::takeHeadroom(const base::RegionId &Region,
                                   base::TimePoint Now) {
  RegionPool *Pool = poolOf(Region);
  if (!Pool)
    return false;
  if (!Pool->dividesSlots())
    return hasHeadroom(*Pool, Now);
  if (Pool->freeSlots(Now) > 0 && Pool->admission().queued() == 0)
    return true;
  // The requested slot serves the next request of a moved caller.
  Pool->setSpillDemand(1);
  return false;
}

shifting::RegionsView
ServiceSteering::regionsView(const base::RegionId &Receiver,
                             const base::RegionId &Sender,
                             base::TimePoint Now) {
  shifting::RegionsView View;
  const RegionPool *To = poolOf(Receiver);
  const RegionPool *From = poolOf(Sender);
  if (!To || !From)
    return View;
  View.MeasuredAt_ = Now;
  const placement::PoolState ReceiverState = To->targets().state(Now);
  const placement::PoolState SenderState = From->targets().state(Now);
  if (To->dividesSlots()) {
    View.ReceiverFreeSlots_ = To->freeSlots(Now) + To->peersFreeSlots();
    View.MeasuredAt_ = To->peersFreeSlotsAt();
    View.CallersSlots_ =
        SenderState.Slots_ -
        std::min<double>(SenderState.Slots_,
                         From->freeSlots(Now) + From->peersFreeSlots());
  } else {
    View.ReceiverFreeSlots_ =
        std::max(0.0, ReceiverState.Slots_ - ReceiverState.InFlight_);
    View.CallersSlots_ = SenderState.InFlight_;
  }
  View.ColdFactor_ = ColdCosts_[Receiver].factor(Now);
  return View;
}

void ServiceSteering::stepShiftPlans(base::TimePoint Now) {
  if (ShiftPlans_.empty() || Now - LastShiftStep_ < StepInterval)
    return;
  LastShiftStep_ = Now;
  const base::WallPoint Wall(Now.time_since_epoch() + WallOffset_);
  ShiftPlans_.tick(
      [&](const base::RegionId &Receiver, const base::RegionId &Sender) {
        return regionsView(Receiver, Sender, Now);
      },
      Now, Wall);
}

} // namespace lychee::steering
