#ifndef LYCHEE_SCENARIO_STRATEGY_H
#define LYCHEE_SCENARIO_STRATEGY_H

#include "settings/Intent.h"
#include "steering/Steering.h"

#include <functional>
#include <memory>

namespace lychee::scenario {

/// A target's report of its own load, as a host hears it.
struct LoadReport {
  base::ServiceId Service_;
  base::TargetId Target_;
  /// Requests it works on or holds.
  std::uint32_t Load_ = 0;
  base::TimePoint TakenAt_;
};

/// What the hosts of a played fleet tell each other with: messages that come
/// later, or not at all.
struct PeerNetwork {
  std::size_t Hosts_ = 0;
  std::function<base::HostId(std::size_t Host)> Name_;
  std::function<base::RegionId(std::size_t Host)> Region_;
  std::function<bool(std::size_t Host)> Alive_;
  /// Runs \p Arrive after the delay between the two, if both live then and
  /// peers are not cut off.
  std::function<void(std::size_t From, std::size_t To,
                     std::function<void()> Arrive)>
      Send_;
  /// Hands on decisions on requests that waited at \p Host.
  std::function<void(std::size_t Host,
                     const std::vector<steering::Wakeup> &Woken)>
      Wake_;
};

/// The steering of a whole fleet, as an Engine plays it: one Steering a host
/// and what hosts hear from outside. \see FleetStrategy for ours, and
/// BaselineStrategy for what it is compared with
class Strategy {
public:
  Strategy() = default;
  Strategy(const Strategy &) = delete;
  Strategy &operator=(const Strategy &) = delete;
  virtual ~Strategy() = default;

  /// Called once, before all else.
  virtual void start(PeerNetwork Peers, std::uint64_t Seed,
                     base::TimePoint Now) = 0;
  virtual steering::Steering &steering(std::size_t Host) = 0;
  virtual void applyIntent(std::size_t Host,
                           std::shared_ptr<const settings::Intent> Intent,
                           base::TimePoint Now) = 0;

  virtual void report(std::size_t Host, const LoadReport &Heard,
                      base::TimePoint Now) = 0;
  /// Called every 10 ms: what hosts do by themselves.
  virtual void tick(base::TimePoint Now) = 0;
  /// The host's process ended, or one began anew in its place.
  virtual void hostGone(std::size_t Host, base::TimePoint Now) = 0;
  virtual void hostBack(std::size_t Host, base::TimePoint Now) = 0;
};

} // namespace lychee::scenario

#endif
