#ifndef LYCHEE_DISPATCH_RULESHARES_H
#define LYCHEE_DISPATCH_RULESHARES_H

#include "base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lychee::dispatch {

/// Divides the share of a region's work that runs in other regions between the
/// rules, by how long their requests run.
///
/// Load pattern: a service with rules that run 0.08 and 0.9 s, in a region that
/// has too few slots. The trip of 40 ms costs a short request half of its run
/// time and a long one a twentieth. If the same share of each rule leaves, most
/// trips are made by short requests, and free few slots each.
///
/// A rule's share is in proportion to its run time, and such that the work that
/// leaves stays the same: the mean of the shares, weighted by the slots that
/// the rules keep busy, is the share that was asked for.
///
/// Not thread-safe. \see RegionSplit
class RuleShares {
public:
  /// Time constant with which requests lose their weight. A host gets some tens
  /// of requests of a rule in this time, and the mix of the rules changes
  /// slowly; bursts of some seconds count in part.
  static constexpr base::Duration DecayTime = std::chrono::seconds(10);
  /// Bounds of a rule's run time relative to the mean, so that a share above 0
  /// of the others is never 0 for a rule: its objects would all move at once
  /// when its run time is learned.
  static constexpr double MinRatio = 0.25;
  static constexpr double MaxRatio = 4;
  /// A rule with fewer requests than this in DecayTime is forgotten.
  static constexpr double MinRequests = 0.05;
  /// Rules that are kept; further ones get the mean share.
  static constexpr std::size_t MaxRules = 64;

  /// Counts a request that may run in any region.
  /// \param InitialShare  the share of a rule that was not known yet.
  void recordRequest(std::string_view Rule, double RunSeconds,
                     double InitialShare);

  /// Computes the shares to aim at from now on.
  /// \param Share  the share of the work that should leave, 0 to 1.
  void aimAt(double Share, base::TimePoint Now);
  /// \returns the fraction of the requests that changes region where the shares
  /// reach their aims.
  double distance() const;
  /// Moves each share towards its aim by this part of the distance.
  void advance(double Part);

  /// \returns the share of the work that leaves; nothing: no rule is known.
  std::optional<double> meanShare() const;
  /// \returns the rule's share; nothing: the rule is not known.
  std::optional<double> shareOf(std::string_view Rule) const;

private:
  struct Rule {
    /// Both with decaying weight.
    double Requests_ = 0;
    double Seconds_ = 0;
    double Share_ = 0;
    double Aim_ = 0;
    /// It takes its aim at once: a host that has just started had no earlier
    /// requests of the rule that would change region.
    bool IsNew_ = true;
    /// Relative to the mean run time, within bounds.
    double Ratio_ = 1;
  };

  void decay(base::TimePoint Now);
  void computeRatios();
  /// \returns the factor from a rule's ratio to its share.
  double factorFor(double Share) const;

  std::map<std::string, Rule, std::less<>> Rules_;
  std::optional<base::TimePoint> DecayedAt_;
};

} // namespace lychee::dispatch

#endif
