#include "scenario/RandomScenario.h"

#include "scenario/ScenarioCheck.h"

#include <array>

namespace lychee::scenario {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<const char *, 3> Regions{"north", "middle", "south"};
constexpr std::array<const char *, 3> Customers{"large", "middling", "small"};

/// Draws the parts of one scenario.
class Draw {
public:
  explicit Draw(std::uint64_t Seed) : Source_(Seed * 6364136223846793005ULL) {}

  std::uint32_t below(std::uint32_t Bound) {
    return base::drawBelow(Source_, Bound);
  }
  double between(double Least, double Most) {
    return Least + (Most - Least) * base::drawUnit(Source_);
  }
  base::Duration time(base::Duration Least, base::Duration Most) {
    return base::fromSeconds(
        between(base::toSeconds(Least), base::toSeconds(Most)));
  }
  template <typename Range> auto any(const Range &From) {
    return From[below(static_cast<std::uint32_t>(std::size(From)))];
  }

private:
  base::Random Source_;
};

void addDeployment(Scenario &Made, Draw &Random) {
  Made.Duration_ = seconds(10);
  Made.Warmup_ = seconds(1);
  Made.ReportLag_ = Random.time(milliseconds(50), seconds(3));
  Made.ColdFactor_ = Random.between(1, 3);
  ServiceSpec Service;
  Service.Name_ = "work";
  Service.Deadline_ = Random.time(seconds(1), seconds(5));
  Service.Work_.Typical_ = Random.time(milliseconds(10), milliseconds(120));
  Made.Services_.push_back(Service);
  for (const char *Region : Regions) {
    Made.Regions_.emplace_back(Region);
    Made.Hosts_.push_back({Region, 1 + Random.below(3), 0});
    Made.Targets_.push_back(
        {"work", Region, 1 + Random.below(5), 1 + Random.below(4), 0});
  }
  for (const char *Name : Customers) {
    const double Rate = Random.between(5, 150);
    Made.Customers_.push_back(
        {Name, Rate, Random.between(1, 2) * Rate, 1 + Random.below(3)});
  }
}

void addLoads(Scenario &Made, Draw &Random) {
  const double Slots = 3 * 3 * 2.5;
  const double Capacity =
      Slots / base::toSeconds(Made.Services_[0].Work_.mean());
  for (const char *Customer : Customers)
    for (const char *Region : Regions) {
      LoadSpec Load;
      Load.Customer_ = Customer;
      Load.Label_ = Customer;
      Load.Service_ = "work";
      Load.From_ = Region;
      Load.RatePerSecond_ = Random.between(0, 0.25) * Capacity;
      Load.Callers_ = 1 + Random.below(200);
      Load.Idempotent_ = Random.between(0, 1);
      Made.Loads_.push_back(Load);
    }
}

EventSpec drawFault(Draw &Random, const std::vector<std::string> &Targets,
                    const std::vector<std::string> &Hosts) {
  using Kind = EventSpec::Kind;
  constexpr std::array Kinds{
      Kind::TargetSlow, Kind::TargetDown, Kind::TargetSheds, Kind::TargetSilent,
      Kind::TargetLies, Kind::ReportsLag, Kind::ReportsStop, Kind::RegionLost,
      Kind::HostGone,   Kind::PeersCut,   Kind::LoadFactor,  Kind::Poison,
      Kind::Drain,      Kind::ShiftStart};
  EventSpec Event;
  Event.Kind_ = Random.any(Kinds);
  Event.At_ = Random.time(milliseconds(500), seconds(9));
  Event.For_ = Random.time(milliseconds(100), seconds(5));
  Event.Name_ = Random.any(Targets);
  Event.Amount_ = Random.between(0.1, 1);
  Event.Span_ = Random.time(milliseconds(100), seconds(2));
  if (Event.Kind_ == Kind::RegionLost)
    Event.Name_ = Random.any(Regions);
  else if (Event.Kind_ == Kind::HostGone)
    Event.Name_ = Random.any(Hosts);
  else if (Event.Kind_ == Kind::LoadFactor || Event.Kind_ == Kind::Poison)
    Event.Name_ = Random.any(Customers);
  if (Event.Kind_ == Kind::TargetSlow || Event.Kind_ == Kind::LoadFactor ||
      Event.Kind_ == Kind::Poison)
    Event.Amount_ *= 8;
  if (Event.Kind_ == Kind::Drain || Event.Kind_ == Kind::ShiftStart)
    Event.For_.reset();
  return Event;
}

void addFaults(Scenario &Made, Draw &Random) {
  const auto Targets = targetNames(Made);
  const auto Hosts = hostNames(Made);
  const std::uint32_t Count = 1 + Random.below(6);
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    EventSpec Event = drawFault(Random, Targets, Hosts);
    if (Event.Kind_ == EventSpec::Kind::ShiftStart) {
      const std::uint32_t From = Random.below(3);
      Event.Name_ = "plan-" + std::to_string(Number);
      Event.Service_ = "work";
      Event.From_ = Regions[From];
      Event.To_ = Regions[(From + 1 + Random.below(2)) % 3];
      Event.Cap_ = Random.between(0.05, 0.9);
      Event.Step_ = Random.between(0.05, 0.5);
    }
    Made.Events_.push_back(Event);
  }
}

void addExpectations(Scenario &Made) {
  for (const char *Metric : {"over-rate", "over-capacity", "over-cap",
                             "ran-twice", "false-not-run", "sent-to-leaving"}) {
    ExpectationSpec Wanted;
    Wanted.Metric_ = Metric;
    Made.Expectations_.push_back(Wanted);
  }
}

} // namespace

Scenario makeRandomScenario(std::uint64_t Seed) {
  Draw Random(Seed);
  Scenario Made;
  Made.Name_ = "random-" + std::to_string(Seed);
  Made.Seed_ = Seed;
  addDeployment(Made, Random);
  addLoads(Made, Random);
  addFaults(Made, Random);
  addExpectations(Made);
  return Made;
}

} // namespace lychee::scenario
