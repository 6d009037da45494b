#ifndef LYCHEE_LIVE_INTENT_H
#define LYCHEE_LIVE_INTENT_H

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::live {

/// One of the services that a rule's requests are divided among.
struct WeightedService {
  base::ServiceId Service_;
  std::uint32_t Weight_ = 1;
};

/// Which requests go to which service, and what holds for them.
struct RouteRule {
  std::string Name_;
  /// Host header, lower case, without a port.
  std::string Host_;
  /// Begins and ends with a slash.
  std::string PathPrefix_;
  /// A request may run more than once.
  bool Idempotent_ = false;
  base::Duration Timeout_{};
  base::Duration Objective_{};
  std::uint32_t Priority_ = 0;
  /// At least one; the first takes all where it is alone.
  std::vector<WeightedService> Services_;
  std::uint32_t MaximumSends_ = 1;
  bool Public_ = false;
  bool ByObject_ = false;
  /// Empty: it may be served in any region.
  std::vector<base::RegionId> Homes_;
};

/// What holds for all targets of a service.
struct ServiceRule {
  base::ServiceId Id_;
  std::string HealthPath_;
  /// Connections that a target takes, from all hosts together.
  std::uint32_t ConnectionLimit_ = 1;
  /// A target is cold for so long after its start.
  base::Duration ColdTime_{};
  /// Requests a second, from all hosts together, that a cold target stands.
  double ColdRatePerSecond_ = 0;
};

/// Who may ask, and how often.
struct CustomerRule {
  base::CustomerId Id_;
  std::vector<std::string> Keys_;
  std::optional<std::uint32_t> Priority_;
  /// Over all hosts together; 0: no limit.
  double RatePerSecond_ = 0;
  double Burst_ = 0;
  std::vector<base::RegionId> Homes_;
};

/// What a caller may send, and how long it may take.
struct CallerBounds {
  std::uint32_t HeaderBytes_ = 16U << 10;
  std::uint64_t BodyBytes_ = 64ULL << 20;
  base::Duration HeaderTimeout_ = std::chrono::seconds(3);
  base::Duration IdleTimeout_ = std::chrono::seconds(15);
};

/// All that operators say, as of one version. Never changed once made: a newer
/// version is a new object. \see ActiveIntent
struct Intent {
  std::uint64_t Version_ = 0;
  std::vector<RouteRule> Routes_;
  std::map<base::ServiceId, ServiceRule> Services_;
  std::vector<CustomerRule> Customers_;
  CallerBounds Callers_;
};

/// Figures that the deployment promises; durations count from an operator's
/// acknowledged change. Defaults are strict, for a deployment that tells none.
struct DeploymentBounds {
  /// A withdrawn key stops working within this time.
  base::Duration KeyWithdrawal_ = std::chrono::seconds(5);
  /// A new version of the intent is in force everywhere within this time.
  base::Duration ChangeInForce_ = std::chrono::seconds(2);
  /// A leaving target gets no new work after this time.
  base::Duration TargetDrain_ = std::chrono::milliseconds(2500);
  /// From the signal to stop until the process is ended by force.
  base::Duration StopGrace_ = std::chrono::seconds(6);
  /// Longest that callers keep an answer of the directory.
  base::Duration LookupTimeToLive_ = std::chrono::seconds(5);
  /// Sends beyond the first of each request, as a part of the requests.
  double RetryRatio_ = 0.2;
  /// Such sends that are free in each window, from all hosts together.
  double RetrySlack_ = 64;
  base::Duration RetryWindow_ = std::chrono::seconds(10);
  /// What a customer may get beyond its rate and burst in each window, from all
  /// hosts together: a part of both, and a number of requests.
  base::Duration RateWindow_ = std::chrono::seconds(5);
  double RateOverage_ = 0;
  double RateSlack_ = 0;
};

} // namespace lychee::live

#endif
