// Shift plans of a service at one host.
#include "steering/ServiceSteering.h"

#include <algorithm>
#include <utility>

namespace lychee::steering {

namespace {

using State = shifting::ShiftPlan::State;

/// How often plans are stepped; their paces are seconds at the least.
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

shifting::ShiftPlan beginning(const settings::ShiftPlan &Declared) {
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

shifting::ShiftPlan acted(const shifting::ShiftPlan &Plan, State Wanted,
                          base::WallPoint Wall) {
  if (Plan.State_ == Wanted)
    return Plan;
  if (Wanted == State::Running)
    return shifting::resumePlan(Plan, Wall);
  return Wanted == State::Held ? shifting::holdPlan(Plan, Wall)
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
  const auto Old = std::exchange(Plans_, {});
  std::vector<shifting::ShiftPlan> Plans;
  for (const auto &[Id, Declared] : Intent.Plans_) {
    if (Declared.Service_ != Service_)
      continue;
    const auto Known = Old.find(Id);
    shifting::ShiftPlan Plan = beginning(Declared);
    if (Known != Old.end()) {
      Plan.State_ = Known->second.State_;
      Plan.StateSince_ = Known->second.StateSince_;
      Plan.ReachedShare_ = Known->second.ReachedShare_;
    }
    Plans.push_back(acted(Plan, stateOf(Declared.State_), Wall));
    Plans_[Id] = Plans.back();
  }
  Shifts_.setPlans(Plans);
}

RegionPool *ServiceSteering::shiftedHome(Pending &Wanted, RegionPool &Home,
                                         base::TimePoint Now) {
  if (Shifts_.empty() || Wanted.Sends_ > 0)
    return &Home;
  const shifting::ShiftChoice Chosen = Shifts_.route(
      Wanted.Request_.CallerHash_, Home.region(),
      [&](const base::RegionId &Region) { return takeHeadroom(Region, Now); });
  RegionPool *Moved = poolOf(Chosen.Region_);
  Wanted.Shifted_ = Moved && !Chosen.Plan_.empty();
  return Wanted.Shifted_ ? Moved : &Home;
}

bool ServiceSteering::takeHeadroom(const base::RegionId &Region,
                                   base::TimePoint Now) {
  RegionPool *Pool = poolOf(Region);
  if (!Pool)
    return false;
  if (!Pool->divides())
    return hasHeadroom(*Pool, Now);
  if (Pool->spare(Now) > 0 && Pool->line().queued() == 0)
    return true;
  // The slot comes for the next request of a moved caller.
  Pool->want(1);
  return false;
}

shifting::RegionsView ServiceSteering::viewOf(const base::RegionId &Receiver,
                                              const base::RegionId &Sender,
                                              base::TimePoint Now) {
  shifting::RegionsView View;
  const RegionPool *To = poolOf(Receiver);
  const RegionPool *From = poolOf(Sender);
  if (!To || !From)
    return View;
  View.MeasuredAt_ = Now;
  const placement::PoolState There = To->targets().state(Now);
  const placement::PoolState Here = From->targets().state(Now);
  if (To->divides()) {
    View.ReceiverFreeSlots_ = To->spare(Now) + To->peersSpare();
    View.MeasuredAt_ = To->spareHeardAt();
    View.CallersSlots_ =
        Here.Slots_ -
        std::min<double>(Here.Slots_, From->spare(Now) + From->peersSpare());
  } else {
    View.ReceiverFreeSlots_ = std::max(0.0, There.Slots_ - There.InFlight_);
    View.CallersSlots_ = Here.InFlight_;
  }
  View.ColdFactor_ = ColdCosts_[Receiver].factor(Now);
  return View;
}

void ServiceSteering::stepShifts(base::TimePoint Now) {
  if (Shifts_.empty() || Now - LastShiftStep_ < StepInterval)
    return;
  LastShiftStep_ = Now;
  const base::WallPoint Wall(Now.time_since_epoch() + WallOffset_);
  Shifts_.tick(
      [&](const base::RegionId &Receiver, const base::RegionId &Sender) {
        return viewOf(Receiver, Sender, Now);
      },
      Now, Wall);
}

} // namespace lychee::steering
