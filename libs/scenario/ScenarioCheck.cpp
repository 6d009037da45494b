#include "scenario/ScenarioCheck.h"

#include <algorithm>
#include <set>

namespace lychee::scenario {

namespace {

/// Looks names up and notes those that stand for nothing.
class NameCheck {
public:
  NameCheck(const Scenario &Made, std::vector<ScenarioProblem> &Problems)
      : Problems_(Problems) {
    Regions_.insert(Made.Regions_.begin(), Made.Regions_.end());
    for (const ServiceSpec &Service : Made.Services_)
      Services_.insert(Service.Name_);
    for (const CustomerSpec &Customer : Made.Customers_)
      Customers_.insert(Customer.Name_);
    for (const LoadSpec &Load : Made.Loads_)
      Loads_.insert({Load.Label_, Load.Customer_});
    for (const EventSpec &Event : Made.Events_)
      if (Event.Kind_ == EventSpec::Kind::ShiftStart)
        Plans_.insert(Event.Name_);
    for (const std::string &Name : targetNames(Made))
      Targets_.insert(Name);
    for (const std::string &Name : hostNames(Made))
      Hosts_.insert(Name);
  }

  void region(int Line, const std::string &Name) {
    check(Line, "region", Name, Regions_);
  }
  void service(int Line, const std::string &Name) {
    check(Line, "service", Name, Services_);
  }
  void customer(int Line, const std::string &Name) {
    check(Line, "customer", Name, Customers_);
  }
  void load(int Line, const std::string &Name) {
    check(Line, "load", Name, Loads_);
  }
  void plan(int Line, const std::string &Name) {
    check(Line, "shift", Name, Plans_);
  }
  void target(int Line, const std::string &Name) {
    check(Line, "target", Name, Targets_);
  }
  void host(int Line, const std::string &Name) {
    check(Line, "host", Name, Hosts_);
  }

private:
  void check(int Line, const std::string &Kind, const std::string &Name,
             const std::set<std::string> &Known) {
    const bool Found = std::ranges::any_of(
        Known, [&](const auto &Each) { return matches(Name, Each); });
    if (Found)
      return;
    std::string Names;
    for (const std::string &Each : Known)
      Names += (Names.empty() ? "" : ", ") + Each;
    Problems_.push_back(
        {Line, Kind + " '" + Name + "'",
         Names.empty() ? "a " + Kind + " that is declared" : Names});
  }

  std::vector<ScenarioProblem> &Problems_;
  std::set<std::string> Regions_;
  std::set<std::string> Services_;
  std::set<std::string> Customers_;
  std::set<std::string> Loads_;
  std::set<std::string> Plans_;
  std::set<std::string> Targets_;
  std::set<std::string> Hosts_;
};

void checkEvent(const EventSpec &Event, NameCheck &Names) {
  switch (Event.Kind_) {
  case EventSpec::Kind::TargetSlow:
  case EventSpec::Kind::TargetDown:
  case EventSpec::Kind::TargetSheds:
  case EventSpec::Kind::TargetSilent:
  case EventSpec::Kind::TargetLies:
  case EventSpec::Kind::ReportsLag:
  case EventSpec::Kind::ReportsStop:
  case EventSpec::Kind::Drain:
    return Names.target(Event.Line_, Event.Name_);
  case EventSpec::Kind::RegionLost:
    return Names.region(Event.Line_, Event.Name_);
  case EventSpec::Kind::HostGone:
    return Names.host(Event.Line_, Event.Name_);
  case EventSpec::Kind::PeersCut:
    return;
  case EventSpec::Kind::LoadFactor:
  case EventSpec::Kind::Poison:
    return Names.load(Event.Line_, Event.Name_);
  case EventSpec::Kind::ShiftStart:
    Names.service(Event.Line_, Event.Service_);
    Names.region(Event.Line_, Event.From_);
    return Names.region(Event.Line_, Event.To_);
  case EventSpec::Kind::ShiftHold:
  case EventSpec::Kind::ShiftResume:
  case EventSpec::Kind::ShiftAbort:
    return Names.plan(Event.Line_, Event.Name_);
  }
}

void checkLoad(const LoadSpec &Load, NameCheck &Names) {
  Names.customer(Load.Line_, Load.Customer_);
  Names.service(Load.Line_, Load.Service_);
  Names.region(Load.Line_, Load.From_);
}

} // namespace

bool matches(std::string_view Pattern, std::string_view Name) noexcept {
  if (!Pattern.ends_with('*'))
    return Pattern == Name;
  return Name.starts_with(Pattern.substr(0, Pattern.size() - 1));
}

std::vector<std::string> targetNames(const Scenario &Made) {
  std::vector<std::string> Names;
  for (const TargetsSpec &Targets : Made.Targets_)
    for (std::uint32_t Number = 1; Number <= Targets.Count_; ++Number)
      Names.push_back(Targets.Service_ + "-" + Targets.Region_ + "-" +
                      std::to_string(Number));
  return Names;
}

std::vector<std::string> hostNames(const Scenario &Made) {
  std::vector<std::string> Names;
  for (const HostsSpec &Hosts : Made.Hosts_)
    for (std::uint32_t Number = 1; Number <= Hosts.Count_; ++Number)
      Names.push_back(Hosts.Region_ + "-" + std::to_string(Number));
  return Names;
}

void checkScenario(const Scenario &Made,
                   std::vector<ScenarioProblem> &Problems) {
  NameCheck Names(Made, Problems);
  if (Made.Name_.empty())
    Problems.push_back({0, "no name", "scenario NAME"});
  if (Made.Hosts_.empty())
    Problems.push_back({0, "no hosts", "hosts REGION count=N"});
  if (Made.Warmup_ >= Made.Duration_)
    Problems.push_back({0, "a warm-up of the whole duration",
                        "a warm-up shorter than the duration"});
  for (const LinkSpec &Link : Made.Links_) {
    Names.region(Link.Line_, Link.Left_);
    Names.region(Link.Line_, Link.Right_);
  }
  for (const HostsSpec &Hosts : Made.Hosts_)
    Names.region(Hosts.Line_, Hosts.Region_);
  for (const TargetsSpec &Targets : Made.Targets_) {
    Names.service(Targets.Line_, Targets.Service_);
    Names.region(Targets.Line_, Targets.Region_);
  }
  for (const LoadSpec &Load : Made.Loads_)
    checkLoad(Load, Names);
  for (const EventSpec &Event : Made.Events_)
    checkEvent(Event, Names);
  for (const ExpectationSpec &Wanted : Made.Expectations_) {
    if (Wanted.Of_.empty())
      continue;
    if (Wanted.Metric_ == "moved")
      Names.plan(Wanted.Line_, Wanted.Of_);
    else
      Names.load(Wanted.Line_, Wanted.Of_);
  }
}

} // namespace lychee::scenario
