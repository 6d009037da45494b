#ifndef LYCHEE_DISPATCH_CUSTOMERRATELIMITER_H
#define LYCHEE_DISPATCH_CUSTOMERRATELIMITER_H

#include "base/Id.h"
#include "base/Time.h"
#include "dispatch/DelayedAmount.h"
#include "dispatch/DemandMeter.h"
#include "live/Intent.h"
#include "members/HostTable.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lychee::dispatch {

/// What other hosts tell, as far as the division of rates needs it.
struct FleetDemand {
  std::vector<members::HostView> Others_;
  /// Other regions, of whose hosts no single demands are told.
  std::vector<members::RegionView> Elsewhere_;
  members::HostDescriptor Self_;
  /// This host takes callers' requests, as others do.
  bool Serving_ = true;
  /// Hosts that hold a part, this one included.
  std::size_t Holders_ = 1;
  /// Regions that the fleet has.
  std::size_t Regions_ = 1;
  /// Most others fell silent at once: this host is cut off.
  bool CutOff_ = false;
};

/// What becomes of one request by its customer's rate.
struct RateVerdict {
  enum class Kind {
    Passed,
    /// Its customer's rate is used up; Wait_ says until when.
    Refused,
    /// The host at Holder_ has the region's tokens and is to be asked.
    AskHolder,
  };

  Kind Kind_ = Kind::Passed;
  base::Duration Wait_{};
  std::string Holder_;
  /// Who takes the holder's place; empty: nobody else is there.
  std::string Second_;
};

/// Each customer's rate and burst, divided between regions and, within a
/// region, kept by one host that the others ask.
///
/// Load pattern: many hosts and many customers; a small customer asks each host
/// once in many seconds. Cut into a part for each host, a rate of 6 a second at
/// 71 hosts is one request in 12 s at each, and chance refuses a third of a
/// customer's requests though it stays within its rate; buckets that hold a
/// whole token each would together give 71 at once. Kept together by region the
/// tokens are where they are needed.
///
/// A region's part is its part of the demand that all hosts tell in heartbeats,
/// so that the parts add up to one where all heard the same. Who keeps a
/// customer's tokens in a region is picked by hash among the hosts that are
/// alive; it costs no word between them. A host that becomes the keeper starts
/// with none. A silent host's demand counts in the whole but in no region's
/// part until it can no longer spend anything. \see members::HostTable
///
/// Failure: a keeper is cut off. Its region picks another, and it would go on
/// giving its own callers the whole region's part until its keys are stale, 4.7
/// s later. Symptom: a customer that sends five times its rate got 464 requests
/// in 5 s where 449 are allowed. So a host that is cut off keeps only its own
/// part, which the others leave it.
class CustomerRateLimiter {
public:
  /// Part of the rate that is used: what regions tell each other is up to a
  /// second old, and two may each count a moving caller as theirs; standbys and
  /// hosts that go alone give some more.
  static constexpr double UsedPart = 0.94;
  /// Each region counts for at least so much demand, in requests a second and
  /// as a part of the rate: a customer's first request there finds room, and a
  /// quiet second does not take the region's part away.
  static constexpr double Floor = 0.5;
  static constexpr double FloorPart = 0.04;
  /// A region's demand reaches the others so much later: the next news, the way
  /// and a wait for processors. Each region counts its own demand as late, so
  /// that all divide by the same: where demand grows everywhere, each would
  /// else take its own for a larger part until it hears of the others.
  static constexpr base::Duration NewsDelay = std::chrono::seconds(1);
  /// A host that has just started has not heard the others yet; until then its
  /// region takes no more than a part of an even one.
  static constexpr base::Duration StartTime = std::chrono::seconds(3);
  /// Part of the even part that it takes: where most hosts restart, regions
  /// whose keepers lived on hold more than an even part for about a second.
  /// Usual demand is well below it.
  static constexpr double StartPart = 0.75;

  /// Part of what is allowed beyond rate and burst that is used for bursts:
  /// requests come by chance, and a small customer's burst is one or two at
  /// each region. The rest is for keepers that change while a customer sends
  /// many times its rate.
  static constexpr double UsedSlack = 0.6;

  /// A host that is asked in the keeper's place gives so much of the region's
  /// part, and may save up so many tokens. The keeper waits for its processor
  /// more often than it is dead, and has then given a token of its own for the
  /// same request: with the region's whole part for both, a busy customer gets
  /// more than its rate. The overage that deployments allow is more than this.
  static constexpr double StandbyPart = 0.08;
  static constexpr double MostStandby = 2;

  /// A host that finds no keeper takes tokens for its own callers from so much
  /// of its own part of the demand, which the region's part holds, too. Keys go
  /// stale 4.7 s after a host is cut off, which bounds what comes of that.
  static constexpr double AlonePart = 0.5;
  /// Tokens that it may save up, and how long without a keeper ends that.
  static constexpr double MostAlone = 2;
  static constexpr base::Duration AloneFor = std::chrono::seconds(5);

  CustomerRateLimiter(const live::DeploymentBounds &Bounds,
                      base::TimePoint Start)
      : Bounds_(Bounds), Start_(Start) {}

  void setCustomers(std::span<const live::CustomerRule> Customers,
                    base::TimePoint Now);

  /// Divides anew. To be called every 250 ms.
  void divide(const FleetDemand &Fleet, base::TimePoint Now);

  /// Counts a request, and takes its token where this host keeps them.
  RateVerdict take(const base::CustomerId &Customer, base::TimePoint Now);

  /// Takes a token for a request that another host of the region counted.
  /// \returns nothing where it may pass; else when a token is there again.
  std::optional<base::Duration> takeFor(const base::CustomerId &Customer,
                                        base::TimePoint Now);

  /// The same for a request of this host whose keeper does not answer.
  std::optional<base::Duration> takeAlone(const base::CustomerId &Customer,
                                          base::TimePoint Now);

  /// \returns what this host tells the others.
  std::vector<members::CustomerDemand> demands(base::TimePoint Now);

private:
  struct Bucket {
    /// A bucket starts empty: a fleet that restarts must not give each
    /// customer a second burst.
    double Tokens_ = 0;
    base::TimePoint Filled_;

    void fill(double PerSecond, double Most, base::TimePoint Now) noexcept;
    std::optional<base::Duration> take(double PerSecond) noexcept;
  };

  struct Share {
    double Rate_ = 0;
    double Burst_ = 0;
    /// The region's part of the rate, and this host's.
    double Part_ = 0;
    double OwnPart_ = 0;
    /// Most tokens that the region's bucket holds.
    double Most_ = 1;
    /// Who keeps the region's tokens; empty: this host.
    std::string Holder_;
    std::string Second_;
    Bucket Region_;
    Bucket Standby_;
    Bucket Alone_;
    DemandMeter Demand_;
    /// Demand at all hosts of the region, and at this one.
    DelayedAmount RegionDemand_;
    DelayedAmount OwnDemand_;

    double regionRate() const noexcept { return Rate_ * Part_ * UsedPart; }
  };

  /// Demand of one customer by where it was told.
  struct Told {
    double Region_ = 0;
    double All_ = 0;
  };

  static std::map<base::CustomerId, Told> sumOf(const FleetDemand &Fleet);
  static void
  pickHolder(Share &Of, std::uint64_t Matter,
             std::span<const members::HostDescriptor *const> Keepers,
             const std::string &Self);
  /// Leaves a host that is cut off its own part of what it keeps.
  static void keepOwnPart(Share &Of, base::TimePoint Now) noexcept;
  void divideOne(Share &Of, const Told &Others, const FleetDemand &Fleet,
                 base::TimePoint Now) const;

  /// \returns the tokens that all buckets of a customer may hold together.
  double allTokens(const Share &Of) const noexcept;

  const live::DeploymentBounds Bounds_;
  const base::TimePoint Start_;
  std::map<base::CustomerId, Share> Shares_;
};

} // namespace lychee::dispatch

#endif
