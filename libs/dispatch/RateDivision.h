#ifndef LYCHEE_DISPATCH_RATEDIVISION_H
#define LYCHEE_DISPATCH_RATEDIVISION_H

#include "base/Id.h"
#include "base/Time.h"
#include "dispatch/DemandMeter.h"
#include "live/Intent.h"
#include "members/HostBook.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lychee::dispatch {

/// What other hosts tell, as far as the division of rates needs it.
struct FleetDemand {
  std::vector<members::HostView> Others_;
  /// Hosts that hold a part, this one included.
  std::size_t Holders_ = 1;
  /// Most others fell silent at once: this host is cut off.
  bool CutOff_ = false;
};

/// This host's part of each customer's rate and burst.
///
/// Load pattern: a customer's callers sit on few hosts, move, and now and then
/// send several times the customer's rate. Equal parts refuse what is within
/// the rate; one owner a customer fails with its host. Here each host's part is
/// its part of the demand that all hosts tell in heartbeats, so that the parts
/// add up to one where all heard the same. A host that is cut off keeps the
/// part it has; the others take a silent host's part over only when it can no
/// longer spend it. \see members::HostBook
class RateDivision {
public:
  /// Part of the rate that is used: heartbeats are up to a second old, and two
  /// hosts may each count a moving caller as theirs.
  static constexpr double UsedPart = 0.97;
  /// Each host counts for at least so much demand, in requests a second and as
  /// a part of the rate: a customer's first request at a host finds room, and a
  /// quiet second does not take a host's part away.
  static constexpr double Floor = 0.5;
  static constexpr double FloorPart = 0.04;
  /// A host that has just started has not heard the others yet; it takes no
  /// more than one of so many parts.
  static constexpr std::size_t AssumedHosts = 16;
  static constexpr base::Duration StartTime = std::chrono::seconds(3);

  /// Part of what is allowed beyond rate and burst that is used for bursts of
  /// single hosts. A small customer asks each of a dozen hosts about once a
  /// second; a twelfth of its burst is then one or two requests, and chance
  /// alone refuses every tenth (measured: 5 to 15 of 100 at 12 hosts, within a
  /// rate 1.6 times the demand).
  static constexpr double UsedSlack = 0.8;

  /// Where all hosts together hear less than this part of the rate, a caller
  /// that finds this host's part spent finds a token at another one, where its
  /// next try most likely goes. Waiting for this host's next token would take
  /// it past its objective: 2 s where 60 hosts divide 29 requests a second.
  static constexpr double AmpleRate = 0.85;
  /// When it may try there: what all hosts heard is a second old.
  static constexpr base::Duration ElsewhereSoon = std::chrono::milliseconds(50);

  RateDivision(const live::DeploymentBounds &Bounds, base::TimePoint Start)
      : Bounds_(Bounds), Start_(Start) {}

  void setCustomers(std::span<const live::CustomerRule> Customers,
                    base::TimePoint Now);

  /// Divides anew. To be called every 250 ms.
  void divide(const FleetDemand &Fleet, base::TimePoint Now);

  /// Counts a request and takes its token.
  /// \returns nothing where it may pass; else when a token is there again, here
  /// or at another host.
  std::optional<base::Duration> take(const base::CustomerId &Customer,
                                     base::TimePoint Now);

  /// \returns what this host tells the others.
  std::vector<members::CustomerDemand> demands(base::TimePoint Now);

private:
  struct Share {
    double Rate_ = 0;
    double Burst_ = 0;
    double Part_ = 0;
    /// What all hosts together heard, as a part of the rate.
    double Used_ = 1;
    /// Most tokens that the bucket holds.
    double Most_ = 1;
    /// A bucket starts empty: a fleet that restarts must not give each
    /// customer a second burst.
    double Tokens_ = 0;
    base::TimePoint Filled_;
    DemandMeter Demand_;
  };

  static void fill(Share &Of, base::TimePoint Now) noexcept;

  /// \returns the tokens that all buckets of a customer may hold together.
  double allTokens(const Share &Of) const noexcept;

  const live::DeploymentBounds Bounds_;
  const base::TimePoint Start_;
  std::map<base::CustomerId, Share> Shares_;
};

} // namespace lychee::dispatch

#endif
