#ifndef LYCHEE_SCENARIO_SCENARIO_H
#define LYCHEE_SCENARIO_SCENARIO_H

#include "base/Time.h"
#include "scenario/ServiceTime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::scenario {

/// Two regions and the line between them.
struct LinkSpec {
  std::string Left_;
  std::string Right_;
  base::Duration OneWayDelay_ = std::chrono::milliseconds(20);
  std::uint64_t BitsPerSecond_ = 4'000'000'000;
  int Line_ = 0;
};

struct HostsSpec {
  std::string Region_;
  std::uint32_t Count_ = 1;
  int Line_ = 0;
};

struct ServiceSpec {
  std::string Name_;
  base::Duration Deadline_ = std::chrono::seconds(10);
  ServiceTime Work_;
};

struct TargetsSpec {
  std::string Service_;
  std::string Region_;
  std::uint32_t Count_ = 1;
  std::uint32_t Slots_ = 1;
  int Line_ = 0;
};

struct CustomerSpec {
  std::string Name_;
  double RatePerSecond_ = 0;
  double Burst_ = 0;
  std::uint32_t Weight_ = 1;
};

/// Requests of one customer to one service, arriving at random (Poisson).
struct LoadSpec {
  std::string Customer_;
  std::string Service_;
  /// Names the load in faults and expectations: customer, or customer/key.
  std::string Label_;
  std::string Key_;
  double RatePerSecond_ = 0;
  /// Region of the callers.
  std::string From_;
  std::uint32_t Callers_ = 20;
  /// Share of requests that may run twice without harm.
  double Idempotent_ = 1;
  std::uint64_t BodyBytes_ = 1000;
  /// The service's where absent.
  std::optional<ServiceTime> Work_;
  int Line_ = 0;
};

/// Something that happens at a time: a fault, or what an operator does.
struct EventSpec {
  enum class Kind {
    TargetSlow,
    TargetDown,
    TargetSheds,
    TargetSilent,
    TargetLies,
    ReportsLag,
    ReportsStop,
    RegionLost,
    HostGone,
    PeersCut,
    LoadFactor,
    Poison,
    Drain,
    ShiftStart,
    ShiftHold,
    ShiftResume,
    ShiftAbort,
  };

  Kind Kind_ = Kind::TargetDown;
  base::Duration At_{};
  /// Nothing: until the end of the scenario.
  std::optional<base::Duration> For_;
  /// Target (may end in *), region, host, load or plan.
  std::string Name_;
  /// Factor, share or count, as the kind has it.
  double Amount_ = 0;
  /// Lag of reports, pace of a shift, time between two poison requests.
  base::Duration Span_{};
  std::string Service_;
  std::string From_;
  std::string To_;
  double Cap_ = 0;
  double Step_ = 0;
  int Line_ = 0;
};

/// \returns the name that stands in reports.
std::string_view nameOf(EventSpec::Kind Kind) noexcept;

/// What must hold of what callers got. \see Expectations
struct ExpectationSpec {
  enum class Bound { AtMost, AtLeast };

  std::string Metric_;
  /// A load's label; empty for all loads together.
  std::string Of_;
  /// Name of a refusal; empty for any.
  std::string Reason_;
  Bound Bound_ = Bound::AtMost;
  /// Milliseconds, a share of 1, or a count.
  double Value_ = 0;
  int Line_ = 0;
};

/// One scripted test: a deployment, loads, what happens, what must hold.
/// \see parseScenario
struct Scenario {
  std::string Name_;
  std::uint64_t Seed_ = 1;
  base::Duration Duration_ = std::chrono::seconds(20);
  /// Requests that begin before this are played and not counted.
  base::Duration Warmup_ = std::chrono::seconds(2);
  base::Duration ClientDelay_ = std::chrono::milliseconds(3);
  /// How late targets' load reports are.
  base::Duration ReportLag_ = std::chrono::milliseconds(500);
  /// Work of a caller's first request in a region costs this times more.
  double ColdFactor_ = 1;
  std::vector<std::string> Regions_;
  std::vector<LinkSpec> Links_;
  std::vector<HostsSpec> Hosts_;
  std::vector<ServiceSpec> Services_;
  std::vector<TargetsSpec> Targets_;
  std::vector<CustomerSpec> Customers_;
  std::vector<LoadSpec> Loads_;
  std::vector<EventSpec> Events_;
  std::vector<ExpectationSpec> Expectations_;
};

} // namespace lychee::scenario

#endif
