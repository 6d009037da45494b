#ifndef LYCHEE_DISPATCH_CUSTOMERRATELIMITER_H
#define LYCHEE_DISPATCH_CUSTOMERRATELIMITER_H

#include "admission/ReturnSchedule.h"
#include "base/Id.h"
#include "base/Time.h"
#include "dispatch/DecayingRate.h"
#include "dispatch/FleetDemand.h"
#include "dispatch/RateBucket.h"
#include "dispatch/SampleHistory.h"
#include "live/Intent.h"
#include "members/TokenMessages.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lychee::dispatch {

/// Decision on one request by its customer's rate limit.
struct RateLimitDecision {
  enum class Kind {
    Allowed,
    /// The customer's rate is used up; RetryAfter_ is the time until there is a
    /// token, zero where there is none in time.
    Denied,
    /// The host at address Owner_ owns the region's tokens and is to be asked.
    AskOwner,
  };

  Kind Kind_ = Kind::Allowed;
  base::Duration RetryAfter_{};
  std::string Owner_;
  /// Address of the host that is asked if the owner does not respond; empty:
  /// there is none.
  std::string BackupOwner_;
  /// Of a denial where retries are paced: positions reserved before.
  std::optional<std::uint32_t> Ahead_ = std::nullopt;
};

/// Limits each customer to a rate and burst over all hosts. The rate is divided
/// between regions; within a region, one host owns the tokens, and the other
/// hosts request them from it.
///
/// Load pattern: many hosts and many customers, where a small customer reaches
/// each host once in many seconds. Divided between 71 hosts, a rate of 6 per
/// second would be one request in 12 s at each, and chance would refuse a third
/// of a customer's requests although it stays within its rate; buckets that
/// hold a whole token each would together grant 71 at once. Pooled by region,
/// the tokens are where they are needed.
///
/// A region's share of the rate is its share of the demand that all hosts
/// announce in heartbeats, so the shares add up to one where all hosts received
/// the same. The owner of a customer's tokens in a region is elected by hash
/// among the hosts that are alive, which needs no communication. A host that
/// becomes the owner starts with no tokens. A silent host's demand counts in
/// the total but in no region's share, until the host can no longer spend
/// anything. \see members::HostTable
///
/// Failure: an owner is cut off. Its region elects another one, and the old
/// owner would go on granting the region's whole share to its own callers until
/// its keys are stale, 4.7 s later. Symptom: a customer that sends five times
/// its rate got 464 requests in 5 s where 449 are allowed. So a host that is
/// cut off keeps only its own share, which the others leave to it.
class CustomerRateLimiter {
public:
  /// Share of the rate that is used. Demand announced between regions is up to
  /// a second old, so two regions may both count a caller that moves; backup
  /// owners and hosts that reach no owner grant some more.
  static constexpr double UsedShare = 0.94;
  /// Minimum demand that each region counts for, in requests per second and as
  /// a share of the rate, whichever is lower. A customer's first request in a
  /// region finds a token then, and a quiet second does not take the region's
  /// share away.
  static constexpr double MinRegionDemand = 0.5;
  static constexpr double MinRegionDemandShare = 0.04;
  /// Time until the other regions know the demand of a region: the interval
  /// between updates, the transmission, and waits for processors. Each region
  /// reads its own demand with the same delay, so that all divide by the same
  /// numbers: where demand grows everywhere, each would otherwise compute too
  /// large a share for itself until it receives the demand of the others.
  static constexpr base::Duration PropagationDelay = std::chrono::seconds(1);
  /// Time after the start in which a host may not have received the demand of
  /// the others; until then its region takes at most StartupShare of an even
  /// share.
  static constexpr base::Duration StartupTime = std::chrono::seconds(3);
  /// Share of the even share. Where most hosts restart, regions whose owners
  /// kept running hold more than an even share for about a second. Usual demand
  /// is well below it.
  static constexpr double StartupShare = 0.75;

  /// Share of the allowance beyond rate and burst that is used for bursts:
  /// requests arrive at random, and a small customer's burst is one or two
  /// requests in each region. The rest covers changes of the owner while a
  /// customer sends many times its rate.
  static constexpr double UsedSlackShare = 0.6;

  /// Share of the region's rate that a backup owner grants, and the tokens that
  /// it may save up. The owner is more often waiting for its processor than
  /// dead, and has then granted a token of its own for the same request: with
  /// the region's whole share for both, a busy customer would get more than its
  /// rate. The overage that deployments allow is larger than this share.
  static constexpr double BackupShare = 0.08;
  static constexpr double MaxBackupTokens = 2;

  /// Share of its own part of the demand, which is also part of the region's
  /// share, from which a host that reaches no owner grants tokens to its own
  /// callers. Keys go stale 4.7 s after a host is cut off, which bounds the
  /// excess.
  static constexpr double FallbackShare = 0.5;
  /// Tokens that it may save up, and the time without use after which it starts
  /// again from none.
  static constexpr double MaxFallbackTokens = 2;
  static constexpr base::Duration FallbackResetTime = std::chrono::seconds(5);

  CustomerRateLimiter(const live::DeploymentBounds &Bounds,
                      base::TimePoint Start)
      : Bounds_(Bounds), Start_(Start) {}

  void setCustomers(std::span<const live::CustomerRule> Customers,
                    base::TimePoint Now);

  /// Recomputes all shares. To be called every 250 ms.
  void redistribute(const FleetDemand &Fleet, base::TimePoint Now);

  /// Counts a request, and takes its token where this host owns the tokens.
  /// \param Return  where retries are paced: of this request.
  RateLimitDecision
  take(const base::CustomerId &Customer, base::TimePoint Now,
       const std::optional<members::ReturnTerms> &Return = {});

  /// Returns a token that take() took at this host and that was not needed.
  void refund(const base::CustomerId &Customer);

  /// Takes a token for a request that another host of the region counted.
  /// \returns nothing: the token was taken; else the time until there is one,
  /// zero where there is none before the time in \p Return is over.
  std::optional<base::Duration>
  takeForPeer(const base::CustomerId &Customer, base::TimePoint Now,
              const std::optional<members::ReturnTerms> &Return = {});

  /// The same for a request of this host whose owners do not respond.
  std::optional<base::Duration> takeFallback(const base::CustomerId &Customer,
                                             base::TimePoint Now);

  /// \returns the demand of a customer at all hosts, without the part beyond
  /// its rate; nothing: the customer is not known.
  std::optional<double> fleetDemand(const base::CustomerId &Customer) const;

  /// \returns the demand that this host announces to the others.
  std::vector<members::CustomerDemand> demands(base::TimePoint Now);

private:
  struct CustomerState {
    double Rate_ = 0;
    double Burst_ = 0;
    /// The region's share of the rate, and this host's.
    double RegionShare_ = 0;
    double HostShare_ = 0;
    /// Capacity of the region's bucket, in tokens.
    double MaxRegionTokens_ = 1;
    /// Address of the owner of the region's tokens; empty: this host.
    std::string Owner_;
    std::string BackupOwner_;
    /// They start empty: a fleet that restarts must not grant each customer a
    /// second burst.
    RateBucket RegionBucket_;
    RateBucket BackupBucket_;
    RateBucket FallbackBucket_;
    DecayingRate Demand_;
    /// Demand at all hosts of the region, and at this one.
    SampleHistory RegionDemand_;
    SampleHistory HostDemand_;
    /// Of retries, where they are paced and this host owns the tokens.
    admission::ReturnSchedule Returns_;
    /// Demand at all hosts.
    double FleetDemand_ = 0;

    double regionRate() const noexcept {
      return Rate_ * RegionShare_ * UsedShare;
    }
  };

  /// Other hosts' demand of one customer, in this region and in total.
  struct ReportedDemand {
    double Region_ = 0;
    double Total_ = 0;
  };

  static std::map<base::CustomerId, ReportedDemand>
  sumDemands(const FleetDemand &Fleet);
  static void
  selectOwner(CustomerState &State, std::uint64_t Hash,
              std::span<const members::HostDescriptor *const> Candidates,
              const std::string &Self);
  /// Reduces the region's share to this host's own, where it is cut off.
  static void limitToHostShare(CustomerState &State,
                               base::TimePoint Now) noexcept;
  void updateShare(CustomerState &State, const ReportedDemand &Others,
                   const FleetDemand &Fleet, base::TimePoint Now) const;

  /// Takes a token of the region's bucket, or reserves a position for a retry.
  /// \returns nothing: the token was taken.
  static std::optional<admission::ReturnPosition>
  takePaced(CustomerState &State, const members::ReturnTerms &Return,
            base::TimePoint Now);

  /// \returns the tokens that all buckets of a customer may hold together.
  double totalCapacity(const CustomerState &State) const noexcept;

  const live::DeploymentBounds Bounds_;
  const base::TimePoint Start_;
  std::map<base::CustomerId, CustomerState> Customers_;
};

} // namespace lychee::dispatch

#endif
