#include "scenario/IntentBuilder.h"

#include "scenario/ScenarioCheck.h"

namespace lychee::scenario {

namespace {

/// Connections that an endpoint of either deployment takes, about.
constexpr std::uint32_t Connections = 330;

void addTargets(settings::Intent &Made, const TargetsSpec &Targets) {
  settings::Service &Service =
      Made.Services_[base::ServiceId(Targets.Service_)];
  const settings::Region &Region =
      Made.Regions_[base::RegionId(Targets.Region_)];
  for (std::uint32_t Number = 1; Number <= Targets.Count_; ++Number) {
    settings::Target Target;
    Target.Id_ = base::TargetId(Targets.Service_ + "-" + Targets.Region_ + "-" +
                                std::to_string(Number));
    Target.Zone_ = Region.Zones_[Number % Region.Zones_.size()];
    Target.Address_ = Target.Id_.name();
    Target.Slots_ = Targets.Slots_;
    Target.Connections_ = Connections;
    Service.Targets_.push_back(Target);
  }
}

void startShift(settings::Intent &Changed, const EventSpec &Action,
                base::WallPoint Wall) {
  settings::ShiftPlan Plan;
  Plan.Id_ = base::PlanId(Action.Name_);
  Plan.Service_ = base::ServiceId(Action.Service_);
  Plan.From_ = base::RegionId(Action.From_);
  Plan.To_ = base::RegionId(Action.To_);
  Plan.Cap_ = Action.Cap_;
  Plan.Step_ = Action.Step_;
  Plan.Pace_ = Action.Span_;
  Plan.Start_ = Wall;
  Changed.Plans_[Plan.Id_] = Plan;
}

void drain(settings::Intent &Changed, const std::string &Pattern) {
  for (auto &[Id, Service] : Changed.Services_)
    for (settings::Target &Target : Service.Targets_)
      Target.Leaving_ = Target.Leaving_ || matches(Pattern, Target.Id_.name());
}

} // namespace

settings::Intent buildIntent(const Scenario &Played) {
  settings::Intent Made;
  Made.Version_ = 1;
  for (const std::string &Name : Played.Regions_) {
    const base::RegionId Id(Name);
    Made.Regions_[Id] = {
        Id, {base::ZoneId(Name + "-a"), base::ZoneId(Name + "-b")}};
  }
  for (const LinkSpec &Link : Played.Links_)
    Made.Links_.push_back({.Id_ = base::LinkId(Link.Left_ + "-" + Link.Right_),
                           .Left_ = base::RegionId(Link.Left_),
                           .Right_ = base::RegionId(Link.Right_),
                           .BitsPerSecond_ = Link.BitsPerSecond_,
                           .OneWayDelay_ = Link.OneWayDelay_});
  for (const ServiceSpec &Declared : Played.Services_) {
    settings::Service Service;
    Service.Id_ = base::ServiceId(Declared.Name_);
    Service.Deadline_ = Declared.Deadline_;
    Service.ExpectedWork_ = Declared.Work_.mean();
    Made.Services_[Service.Id_] = Service;
  }
  for (const TargetsSpec &Targets : Played.Targets_)
    addTargets(Made, Targets);
  for (const CustomerSpec &Customer : Played.Customers_) {
    const base::CustomerId Id(Customer.Name_);
    settings::Customer Declared;
    Declared.Id_ = Id;
    Declared.RatePerSecond_ = Customer.RatePerSecond_;
    Declared.Burst_ = Customer.Burst_;
    Declared.Weight_ = Customer.Weight_;
    Made.Customers_[Id] = Declared;
  }
  return Made;
}

void applyOperatorAction(settings::Intent &Changed, const EventSpec &Action,
                         base::WallPoint Wall) {
  ++Changed.Version_;
  const base::PlanId Plan(Action.Name_);
  using Kind = EventSpec::Kind;
  using State = settings::ShiftPlan::State;
  if (Action.Kind_ == Kind::Drain)
    return drain(Changed, Action.Name_);
  if (Action.Kind_ == Kind::ShiftStart)
    return startShift(Changed, Action, Wall);
  if (Action.Kind_ == Kind::ShiftHold)
    Changed.Plans_[Plan].State_ = State::Held;
  else if (Action.Kind_ == Kind::ShiftAbort)
    Changed.Plans_[Plan].State_ = State::Aborted;
  else if (Action.Kind_ == Kind::ShiftResume)
    Changed.Plans_[Plan].State_ = State::Running;
}

} // namespace lychee::scenario
