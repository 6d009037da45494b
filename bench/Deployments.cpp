#include "Deployments.h"

#include <algorithm>
#include <array>

namespace lychee::bench {

namespace {

using scenario::EventSpec;
using scenario::LoadSpec;
using scenario::Scenario;
using scenario::ServiceTime;

/// A customer's part of all requests.
struct CustomerShare {
  std::string_view Name_;
  double Share_ = 0;
};

struct ServiceSize {
  std::string_view Name_;
  std::array<std::uint32_t, 3> TargetsByRegion_{};
  std::uint32_t Slots_ = 1;
  base::Duration Work_{};
  base::Duration Deadline_{};
  /// Share of requests that may run twice.
  double Idempotent_ = 1;
  std::uint64_t BodyBytes_ = 0;
};

struct DeploymentSize {
  std::string_view Name_;
  std::array<std::string_view, 3> Regions_{};
  std::array<std::uint32_t, 3> HostsByRegion_{};
  base::Duration ClientDelay_{};
  std::array<ServiceSize, 2> Services_{};
  std::array<CustomerShare, 8> Customers_{};
};

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Numbers of endpoints, slots, delays and customers are the deployments' own;
/// work, bodies and customers' shares are assumed: lookups and uploads of
/// ordinary portals, and a few large customers that send half of all.
constexpr DeploymentSize Kitakyushu{
    "kitakyushu",
    {"fukuoka", "kumamoto", "kagoshima"},
    {4, 3, 3},
    milliseconds(8),
    {{{"portal", {10, 10, 10}, 3, milliseconds(60), seconds(4), 0.9, 4'000},
      {"vault", {4, 4, 4}, 3, milliseconds(250), seconds(10), 0.5, 500'000}}},
    {{{"kyushu-u", 0.25},
      {"fukuoka-u", 0.20},
      {"saga-u", 0.15},
      {"council", 0.12},
      {"evaluators", 0.10},
      {"nagasaki-u", 0.08},
      {"oita-u", 0.06},
      {"schools", 0.04}}}};

constexpr DeploymentSize Glockenwerk{
    "glockenwerk",
    {"oberbayern", "franken", "schwaben"},
    {4, 3, 3},
    milliseconds(3),
    {{{"rota", {7, 7, 6}, 4, milliseconds(50), seconds(4), 0.8, 2'000},
      {"archive", {4, 4, 4}, 3, milliseconds(300), seconds(10), 0.6, 400'000}}},
    {{{"diocese-a", 0.28},
      {"diocese-b", 0.20},
      {"diocese-c", 0.15},
      {"abbeys", 0.12},
      {"captains", 0.09},
      {"parish-north", 0.07},
      {"parish-south", 0.05},
      {"chapel", 0.04}}}};

constexpr std::array Deployments{Kitakyushu, Glockenwerk};

/// A customer's rate over what it usually sends.
constexpr double RateMargin = 1.3;
/// Burst, in seconds of the rate.
constexpr double BurstSeconds = 1;
constexpr double SmallestBurst = 20;
/// Callers of the three regions send these shares of the requests.
constexpr std::array<double, 3> HomeShares{0.35, 0.33, 0.32};

double requestsPerSecond(const ServiceSize &Service, double Load) {
  double Slots = 0;
  for (const std::uint32_t Targets : Service.TargetsByRegion_)
    Slots += Targets * Service.Slots_;
  return Load * Slots / base::toSeconds(Service.Work_);
}

void addService(Scenario &Made, const DeploymentSize &Size,
                const ServiceSize &Service, double Load) {
  const std::string Name(Service.Name_);
  ServiceTime Work;
  Work.Typical_ = Service.Work_;
  Made.Services_.push_back({Name, Service.Deadline_, Work});
  const double Rate = requestsPerSecond(Service, Load);
  for (std::size_t Region = 0; Region < Size.Regions_.size(); ++Region) {
    const std::string Here(Size.Regions_[Region]);
    Made.Targets_.push_back(
        {Name, Here, Service.TargetsByRegion_[Region], Service.Slots_, 0});
    for (const CustomerShare &Customer : Size.Customers_) {
      LoadSpec Added;
      Added.Customer_ = Customer.Name_;
      Added.Label_ = Customer.Name_;
      Added.Service_ = Name;
      Added.From_ = Here;
      Added.RatePerSecond_ = Rate * Customer.Share_ * HomeShares[Region];
      Added.Callers_ = 200;
      Added.Idempotent_ = Service.Idempotent_;
      Added.BodyBytes_ = Service.BodyBytes_;
      Made.Loads_.push_back(Added);
    }
  }
}

void addCustomers(Scenario &Made, const DeploymentSize &Size, double Load) {
  double Total = 0;
  for (const ServiceSize &Service : Size.Services_)
    Total += requestsPerSecond(Service, Load);
  for (const CustomerShare &Customer : Size.Customers_) {
    const double Rate = Total * Customer.Share_ * RateMargin;
    Made.Customers_.push_back({std::string(Customer.Name_), Rate,
                               std::max(SmallestBurst, Rate * BurstSeconds),
                               1});
  }
}

EventSpec eventAt(EventSpec::Kind Kind, base::Duration At,
                  const std::string &Name) {
  EventSpec Made;
  Made.Kind_ = Kind;
  Made.At_ = At;
  Made.Name_ = Name;
  return Made;
}

void setFactor(Scenario &Played, const std::string &Label, double Factor,
               base::Duration At, base::Duration For) {
  EventSpec Event = eventAt(EventSpec::Kind::LoadFactor, At, Label);
  Event.For_ = For;
  Event.Amount_ = Factor;
  Played.Events_.push_back(Event);
}

/// Adds one fault to the first target of each service in each region.
void addToFirstTargets(Scenario &Played, EventSpec Event) {
  for (const scenario::TargetsSpec &Targets : Played.Targets_) {
    Event.Name_ = Targets.Service_ + "-" + Targets.Region_ + "-1";
    Played.Events_.push_back(Event);
  }
}

void leaveAsIs(Scenario &) {}

/// One middling customer sends five times its rate throughout.
void heavyCustomer(Scenario &Played) {
  setFactor(Played, Played.Customers_[3].Name_, 5 * RateMargin, seconds(1),
            Played.Duration_);
}

/// All customers send three times their load for half a second, again and
/// again; within their bursts.
void bursts(Scenario &Played) {
  for (int Second = 4; Second < 20; Second += 4)
    setFactor(Played, "*", 3, seconds(Second), milliseconds(500));
}

void slowTargets(Scenario &Played) {
  EventSpec Event = eventAt(EventSpec::Kind::TargetSlow, seconds(5), "");
  Event.Amount_ = 8;
  addToFirstTargets(Played, Event);
}

void sheddingTargets(Scenario &Played) {
  EventSpec Event = eventAt(EventSpec::Kind::TargetSheds, seconds(5), "");
  Event.Amount_ = 0.5;
  addToFirstTargets(Played, Event);
}

void longAmongShort(Scenario &Played) {
  // The same mean work: 3% of requests take fifteen times the mean.
  for (scenario::ServiceSpec &Service : Played.Services_) {
    const double Mean = base::toSeconds(Service.Work_.Typical_);
    Service.Work_ = {ServiceTime::Shape::Mixed,
                     base::fromSeconds(Mean * 0.55 / 0.97),
                     base::fromSeconds(Mean * 15), 0.03};
  }
}

/// Customers' rates allow all of it, so that only room can be the reason.
void saturation(Scenario &Played) {
  for (scenario::CustomerSpec &Customer : Played.Customers_) {
    Customer.RatePerSecond_ *= 2;
    Customer.Burst_ *= 2;
  }
  setFactor(Played, "*", 1.5 / 0.8, seconds(1), Played.Duration_);
}

void staleReports(Scenario &Played) { Played.ReportLag_ = seconds(5); }

void regionLost(Scenario &Played) {
  EventSpec Event =
      eventAt(EventSpec::Kind::RegionLost, seconds(8), Played.Regions_.back());
  Event.For_ = seconds(6);
  Played.Events_.push_back(Event);
}

/// Callers of the first region send nearly half of all requests.
void unevenHomes(Scenario &Played) {
  for (LoadSpec &Load : Played.Loads_) {
    if (Load.From_ == Played.Regions_[0])
      Load.RatePerSecond_ *= 0.46 / HomeShares[0];
    else if (Load.From_ == Played.Regions_[1])
      Load.RatePerSecond_ *= 0.30 / HomeShares[1];
    else
      Load.RatePerSecond_ *= 0.24 / HomeShares[2];
  }
}

void drainTargets(Scenario &Played) {
  addToFirstTargets(Played, eventAt(EventSpec::Kind::Drain, seconds(8), ""));
}

/// Half of one region's callers move, to caches that have never seen them.
void shiftCallers(Scenario &Played) {
  Played.ColdFactor_ = 2;
  EventSpec Event = eventAt(EventSpec::Kind::ShiftStart, seconds(4), "move");
  Event.Service_ = Played.Services_[0].Name_;
  Event.From_ = Played.Regions_[0];
  Event.To_ = Played.Regions_[1];
  Event.Cap_ = 0.3;
  Event.Step_ = 0.05;
  Event.Span_ = seconds(1);
  Played.Events_.push_back(Event);
}

constexpr std::array Patterns{
    Pattern{"normal", 0.7, leaveAsIs},
    Pattern{"heavy-customer", 0.8, heavyCustomer},
    Pattern{"bursts", 0.6, bursts},
    Pattern{"slow-targets", 0.7, slowTargets},
    Pattern{"shedding", 0.7, sheddingTargets},
    Pattern{"long-among-short", 0.7, longAmongShort},
    Pattern{"saturation", 0.8, saturation},
    Pattern{"stale-reports", 0.8, staleReports},
    Pattern{"region-lost", 0.55, regionLost},
    Pattern{"uneven-homes", 0.7, unevenHomes},
    Pattern{"drain", 0.7, drainTargets},
    Pattern{"shift", 0.5, shiftCallers},
};

} // namespace

std::span<const Pattern> allPatterns() noexcept { return Patterns; }

const Pattern *findPattern(std::string_view Name) noexcept {
  const auto *Found = std::ranges::find(Patterns, Name, &Pattern::Name_);
  return Found == Patterns.end() ? nullptr : Found;
}

std::optional<Scenario> makeDeployment(std::string_view Name,
                                       const Pattern &Under,
                                       std::uint64_t Seed) {
  const auto *Size =
      std::ranges::find(Deployments, Name, &DeploymentSize::Name_);
  if (Size == Deployments.end())
    return std::nullopt;
  Scenario Made;
  Made.Name_ = std::string(Name) + "/" + std::string(Under.Name_);
  Made.Seed_ = Seed;
  Made.Duration_ = seconds(20);
  Made.Warmup_ = seconds(3);
  Made.ClientDelay_ = Size->ClientDelay_;
  for (std::size_t Region = 0; Region < Size->Regions_.size(); ++Region) {
    Made.Regions_.emplace_back(Size->Regions_[Region]);
    Made.Hosts_.push_back(
        {std::string(Size->Regions_[Region]), Size->HostsByRegion_[Region], 0});
  }
  for (std::size_t Left = 0; Left < 3; ++Left)
    for (std::size_t Right = Left + 1; Right < 3; ++Right) {
      scenario::LinkSpec Link;
      Link.Left_ = Size->Regions_[Left];
      Link.Right_ = Size->Regions_[Right];
      Made.Links_.push_back(Link);
    }
  for (const ServiceSize &Service : Size->Services_)
    addService(Made, *Size, Service, Under.Load_);
  addCustomers(Made, *Size, Under.Load_);
  Under.Apply_(Made);
  return Made;
}

} // namespace lychee::bench
