#ifndef LYCHEE_LIVE_INTENT_H
#define LYCHEE_LIVE_INTENT_H

#include "base/Error.h"
#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lychee::live {

/// One of the services among which a rule's requests are divided.
struct WeightedService {
  base::ServiceId Service_;
  /// In proportion to the weights of the rule's other services; above 0.
  double Weight_ = 1;
};

/// Maps requests to services, with the conditions that apply to them.
struct RouteRule {
  std::string Name_;
  /// False: what else operators say of these requests cannot be read, and they
  /// are refused.
  bool Readable_ = true;
  /// Host header in lower case, without a port.
  std::string Host_;
  /// Begins and ends with a slash; empty if it cannot be read.
  std::string PathPrefix_;
  /// Whether a request may be executed more than once.
  bool Idempotent_ = false;
  base::Duration Timeout_{};
  base::Duration Objective_{};
  std::uint32_t Priority_ = 0;
  /// At least one; a single service gets all requests.
  std::vector<WeightedService> Services_;
  std::uint32_t MaximumSends_ = 1;
  bool Public_ = false;
  bool ByObject_ = false;
  /// Regions that may serve the requests; empty: any region.
  std::vector<base::RegionId> Homes_;
};

/// Settings for all targets of a service.
struct ServiceRule {
  base::ServiceId Id_;
  std::string HealthPath_;
  /// Connections that a target accepts from all hosts together.
  std::uint32_t ConnectionLimit_ = 1;
  /// A target is cold for this long after its start.
  base::Duration ColdTime_{};
  /// Requests per second that a cold target can handle, from all hosts
  /// together.
  double ColdRatePerSecond_ = 0;
};

/// A customer's keys, priority and rate limit.
struct CustomerRule {
  base::CustomerId Id_;
  std::vector<std::string> Keys_;
  std::optional<std::uint32_t> Priority_;
  /// Limit over all hosts together; 0: no limit.
  double RatePerSecond_ = 0;
  double Burst_ = 0;
  std::vector<base::RegionId> Homes_;
};

/// Limits on the size and duration of callers' requests.
struct CallerBounds {
  std::uint32_t HeaderBytes_ = 16U << 10;
  std::uint64_t BodyBytes_ = 64ULL << 20;
  base::Duration HeaderTimeout_ = std::chrono::seconds(3);
  base::Duration IdleTimeout_ = std::chrono::seconds(15);
};

/// Parts of an intent that cannot be read, and are left out.
struct IntentFaults {
  std::size_t Count_ = 0;
  base::Error First_;

  void add(const base::Error &Fault) {
    if (Count_++ == 0)
      First_ = Fault;
  }
};

/// All settings of operators as of one version. Immutable: a newer version is a
/// new object. \see ActiveIntent
struct Intent {
  std::uint64_t Version_ = 0;
  std::vector<RouteRule> Routes_;
  std::map<base::ServiceId, ServiceRule> Services_;
  /// Requests need a customer's key unless their rule is public, also if there
  /// is no customer.
  bool NeedsKeys_ = true;
  std::vector<CustomerRule> Customers_;
  /// Keys of customers whose other settings cannot be read.
  std::vector<std::string> UnreadableCustomersKeys_;
  /// There are keys that cannot be read: an unknown key may be one of them.
  bool HasUnreadableKeys_ = false;
  CallerBounds Callers_;
  IntentFaults Faults_;
};

/// Which decisions on heavy load a deployment calls for; the others are made as
/// if they did not exist.
struct LoadFeatures {
  /// While a service lacks room, it is divided between customers and, within a
  /// customer's share, by urgency.
  bool FairShares_ = false;
  /// Refused callers are told to come back one after the other.
  bool PacedReturns_ = false;
  /// The split between regions follows the demand that is expected.
  bool LeadingSplit_ = false;
};

/// Bounds that the deployment guarantees. Durations count from an operator's
/// acknowledged change. The defaults are strict, for a deployment that
/// specifies none.
struct DeploymentBounds {
  /// A withdrawn key stops working within this time.
  base::Duration KeyWithdrawal_ = std::chrono::seconds(5);
  /// A new version of the intent is in force everywhere within this time.
  base::Duration ChangeInForce_ = std::chrono::seconds(2);
  /// A leaving target gets no new requests after this time.
  base::Duration TargetDrain_ = std::chrono::milliseconds(2500);
  /// Time between the stop signal and the forced end of the process.
  base::Duration StopGrace_ = std::chrono::seconds(6);
  /// Longest time for which callers cache an answer of the directory.
  base::Duration LookupTimeToLive_ = std::chrono::seconds(5);
  /// Sends beyond the first one of each request, as a fraction of the requests.
  double RetryRatio_ = 0.2;
  /// Number of such sends in each window that do not count against RetryRatio_,
  /// from all hosts together.
  double RetrySlack_ = 64;
  base::Duration RetryWindow_ = std::chrono::seconds(10);
  /// What a customer may get beyond its rate and burst in each window, from all
  /// hosts together: a fraction of both, and a number of requests.
  base::Duration RateWindow_ = std::chrono::seconds(5);
  double RateOverage_ = 0;
  double RateSlack_ = 0;
  LoadFeatures Features_;
};

} // namespace lychee::live

#endif
