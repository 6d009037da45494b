#ifndef LYCHEE_ADMISSION_SERVICEADMISSION_H
#define LYCHEE_ADMISSION_SERVICEADMISSION_H

#include "admission/CapacityEstimate.h"
#include "admission/PriorityOrder.h"
#include "admission/UsageMeter.h"
#include "admission/WaterLevel.h"

#include <array>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace lychee::admission {

/// Pressure of one priority's requests on a service, at one host.
struct PriorityPressure {
  std::uint32_t Priority_ = 0;
  WorkPressure Work_;
};

/// What the other hosts of the region tell of a service.
struct RegionPressure {
  std::vector<PriorityPressure> Rows_;
  /// Demand in slots of hosts that told no pressure, as they see no shortage.
  double UnreportedSlots_ = 0;
  /// Sum of the served shares of the hosts, 1 where none was told.
  double ShareSum_ = 0;
  std::size_t Hosts_ = 0;
  std::size_t Reporting_ = 0;
  /// Fraction of the demand that the targets' slots can serve.
  double SlotShare_ = 0;
};

/// A request that asks for admission to a service.
struct ShareQuery {
  /// Its customer's demand; nothing: there is no customer, or none known yet.
  std::optional<WeightedDemand> Customer_;
  std::uint32_t Priority_ = 0;
  /// The customer has a priority of its own, which overrides those of rules.
  bool HasOwnPriority_ = false;
  /// Number in [0, 1), as random as the request.
  double Draw_ = 0;
  /// Expected time in a slot.
  base::Duration Work_{};
};

/// Admission of requests to one service while it lacks capacity in a region:
/// joins the estimate of the capacity, the customers' shares and the order by
/// priority.
///
/// Load pattern: one customer, within its rate, sends several times its usual
/// load to a service without spare capacity, or a rule of low priority does.
/// Without shares, whoever sends most gets most: a customer with five times its
/// usual load received 47% of all successful answers of a fleet with 83
/// customers. Shares between customers come first and priority second, as a
/// customer that sends only urgent requests would otherwise take all.
///
/// Each host computes the same level from the demand of all hosts, rather than
/// dividing it between hosts: a small customer reaches a given host once in
/// several seconds, and a host's part of its share would be less than a
/// request.
///
/// Not thread-safe: part of its owner. \see dispatch::DispatchSteering
class ServiceAdmission {
public:
  /// Minimum rate at which a customer is served, as part of the rate of all.
  /// Callers require a quarter; the rest covers random variation.
  static constexpr double MinPart = 0.3;
  /// Part of the distance to the mean of the other hosts' shares that is closed
  /// with each update: enough to keep hosts together that received different
  /// heartbeats, and less than the estimate moves by itself in a shortage.
  static constexpr double FollowWeight = 0.1;
  /// A host that sees no shortage adopts the others' share where it is lower
  /// than this and most others report one.
  static constexpr double MaxAdoptedShare = 0.97;
  /// Part of the asked work that must lack capacity for the pressure to be
  /// told: a fifth of what is tolerable.
  static constexpr double ToldShortage =
      CapacityEstimate::TolerableShortage / 5;

  /// Decides on a request and counts what is asked.
  ShareDecision decide(const ShareQuery &Query, base::TimePoint Now) noexcept;

  /// Counts the work of a request that goes on to target selection.
  void recordAdmission(std::uint32_t Priority, base::Duration Work,
                       base::TimePoint Now) noexcept;

  /// Records that \p Work of an admitted request lacks capacity.
  void recordShortage(std::uint32_t Priority, base::Duration Work,
                      base::TimePoint Now) noexcept;

  /// Recomputes the share of the demand that is served. To be called every 250
  /// ms, and divideAmong() after it where the share is less than 1.
  void update(const RegionPressure &Others, base::TimePoint Now) noexcept;

  /// Recomputes the level up to which customers are served.
  void divideAmong(std::span<const WeightedDemand> Customers) {
    Level_ = waterLevel(Customers, share());
  }

  /// \returns what this host tells the others; empty where the service has
  /// capacity.
  std::vector<PriorityPressure> pressures(base::TimePoint Now) const;

  /// \returns the fraction of the demand that is served, in (0, 1].
  double share() const noexcept { return Capacity_.share(); }
  bool isLimited() const noexcept { return Capacity_.isLimited(); }

private:
  struct Meters {
    UsageMeter Asked_;
    UsageMeter Admitted_;
    UsageMeter Lacking_;
  };

  WorkPressure ownPressure(std::size_t Priority,
                           base::TimePoint Now) const noexcept;
  double fractionOf(const ShareQuery &Query) const noexcept;
  void followOthers(const RegionPressure &Others, base::TimePoint Now) noexcept;

  std::array<Meters, PriorityCount> Meters_;
  CapacityEstimate Capacity_;
  PriorityOrder Order_;
  double Level_ = std::numeric_limits<double>::infinity();
};

} // namespace lychee::admission

#endif
