#ifndef LYCHEE_TESTS_DISPATCH_REACHSIMULATION_H
#define LYCHEE_TESTS_DISPATCH_REACHSIMULATION_H

#include "base/Random.h"
#include "dispatch/DispatchSteering.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lychee::tests {

/// A fleet whose hosts send one service's requests to targets.
struct ReachFleet {
  std::size_t Hosts_ = 12;
  std::size_t Regions_ = 3;
  std::size_t Targets_ = 30;
  /// Requests per second of all callers.
  double PerSecond_ = 210;
  std::uint64_t Objects_ = 60;
};

/// What a host that is cut from targets sees of its connections to them.
enum class CutKind {
  /// New and open ones are silent.
  Hangs,
  /// Open ones are reset and new ones refused.
  Resets,
  /// Open ones go on, new ones are refused.
  RefusesNew,
};

/// Plays such a fleet in virtual time, from a seed, with links between hosts
/// and targets that are cut. Callers keep to all hosts alike, whatever look-ups
/// name, and send each request once.
class ReachSimulation {
public:
  /// A request of a caller, and what became of it.
  struct Attempt {
    std::size_t Host_ = 0;
    bool Idempotent_ = false;
    base::TimePoint SentAt_;
    /// Empty while it is open.
    std::optional<base::TimePoint> EndedAt_;
    bool Served_ = false;
    /// It was refused with the promise that it did not run and never will.
    bool RefusedAsNotRun_ = false;
    int Runs_ = 0;
  };
  struct Tally {
    int Sent_ = 0;
    int Served_ = 0;

    int failed() const noexcept { return Sent_ - Served_; }
  };

  ReachSimulation(const ReachFleet &Size, std::uint64_t Seed);
  ReachSimulation(const ReachSimulation &) = delete;
  ReachSimulation &operator=(const ReachSimulation &) = delete;

  void run(double Seconds);
  base::TimePoint now() const noexcept { return Now_; }

  /// Cuts a host from all targets until heal(). \param Region  cuts it from the
  /// targets of this region only; empty: from all.
  void cut(std::size_t Number, CutKind Kind, const base::RegionId &Region = {});
  void heal(std::size_t Number);
  /// All targets accept nothing and lose what runs, until startTargets().
  void stopTargets();
  void startTargets();
  static base::RegionId regionOf(std::size_t Number, std::size_t Regions) {
    return base::RegionId("region-" + std::to_string(Number % Regions));
  }

  /// \returns the attempts that \p Counted selects and how many were served.
  Tally tally(const std::function<bool(const Attempt &)> &Counted) const;
  /// \returns the requests that ran twice though they must not, or ran though
  /// their callers were told that they did not.
  int brokenPromises() const;
  /// \returns the longest time in seconds from a request to its refusal.
  double slowestRefusal(base::TimePoint Since) const;
  int connectsAttempted() const noexcept { return Connects_; }
  dispatch::DispatchSteering &steering(std::size_t Number) {
    return *Hosts_[Number].Steering_;
  }

private:
  using Steering = dispatch::DispatchSteering;

  struct Cut {
    CutKind Kind_ = CutKind::Hangs;
    base::RegionId Region_;
  };
  struct Host {
    members::HostDescriptor Descriptor_;
    std::unique_ptr<Steering> Steering_;
    std::optional<Cut> Cut_;
    /// Idle connections by target: when each was last used.
    std::map<std::size_t, std::vector<base::TimePoint>> Idle_;
  };
  /// A send that has not ended.
  struct Send {
    std::size_t Attempt_ = 0;
    std::size_t Host_ = 0;
    std::size_t Target_ = 0;
    std::uint64_t Ticket_ = 0;
    base::TimePoint SentAt_;
    base::TimePoint Deadline_;
  };

  void schedule(base::Duration After, std::function<void()> Action);
  void runUntil(base::TimePoint Moment);
  dispatch::FleetDemand viewOf(std::size_t Number) const;
  void updateAll();
  void arrive();
  void apply(std::size_t Tried, std::size_t Number,
             const steering::Decision &Made, base::TimePoint Deadline);
  void sendToTarget(std::size_t Tried, std::size_t Number,
                    const steering::Decision &Made, base::TimePoint Deadline);
  bool isCut(const Host &From, std::size_t Target, CutKind Kind) const;
  bool takeIdle(Host &From, std::size_t Target, bool Idempotent);
  void write(std::uint64_t Number);
  void answer(std::uint64_t Number);
  void timeOut(std::uint64_t Number);
  void end(std::uint64_t Number, steering::SendOutcome Outcome,
           bool TimedOut = false);
  void conclude(std::size_t Tried, bool Served, bool NotRun);
  base::Duration delay(const Host &From, std::size_t Target) const;

  const ReachFleet Size_;
  base::Random Random_;
  base::TimePoint Now_ = base::TimePoint(std::chrono::seconds(100));
  std::vector<live::KnownTarget> Known_;
  std::vector<int> Running_;
  std::map<base::ZoneId, base::RegionId> Zones_;
  std::vector<Host> Hosts_;
  std::vector<Attempt> Attempts_;
  std::map<std::uint64_t, Send> Sends_;
  std::uint64_t LastSend_ = 0;
  bool TargetsDown_ = false;
  int Connects_ = 0;
  std::multimap<base::TimePoint, std::function<void()>> Events_;
};

} // namespace lychee::tests

#endif
