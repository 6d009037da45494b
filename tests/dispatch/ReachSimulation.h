#ifndef LYCHEE_TESTS_DISPATCH_REACHSIMULATION_H
#define LYCHEE_TESTS_DISPATCH_REACHSIMULATION_H

#include "base/Random.h"
#include "dispatch/DispatchSteering.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  /// Targets that one attempt may be sent to.
  std::uint32_t MaxSends_ = 2;
};

/// What a host that is cut from targets sees of its connections to them.
enum class CutKind {
  /// New and open ones are silent.
  Hangs,
  /// Open ones are reset and new ones refused.
  Resets,
  /// Open ones go on, new ones are refused.
  RefusesNew,
  /// Open ones are reset, new ones are accepted and closed.
  Closes,
};

/// Plays such a fleet in virtual time, from a seed, with links between hosts
/// and targets that are cut. Hosts reach each other all the time, and hear of
/// each other as late as heartbeats tell them. Callers keep to all hosts alike,
/// whatever look-ups name, and send each request once.
class ReachSimulation {
public:
  /// A request of a caller, and what became of it.
  struct Attempt {
    std::size_t Host_ = 0;
    bool Idempotent_ = false;
    std::uint32_t Object_ = 0;
    base::TimePoint SentAt_;
    /// Empty while it is open.
    std::optional<base::TimePoint> EndedAt_;
    bool Served_ = false;
    /// It was refused with the promise that it did not run and never will.
    bool RefusedAsNotRun_ = false;
    int Runs_ = 0;
    /// The targets that ran it.
    std::set<std::size_t> Targets_;
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
  /// From now on requests take \p Factor times as long at all targets but the
  /// first of each \p Group, which answers at once with a failure of its own.
  void degradeTargets(double Factor, std::size_t Group);
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
  /// \returns the requests that ran on more targets than they may.
  int attemptsOverBound() const;
  /// \returns the requests that were forwarded, and those of them that were
  /// broken off while a target worked on them, to be forwarded once more.
  int forwards() const noexcept { return Forwards_; }
  int forwardsBrokenOff() const noexcept { return ForwardsBrokenOff_; }
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
    /// When it lost its reach of the targets (true) or regained it.
    std::vector<std::pair<base::TimePoint, bool>> Unreached_;
  };
  /// A request at one host.
  struct Leg {
    std::size_t Attempt_ = 0;
    std::size_t Host_ = 0;
    base::TimePoint Deadline_;
    /// The request at the host that forwarded it, and its ticket there; null:
    /// it came from its caller.
    std::shared_ptr<Leg> From_;
    std::uint64_t FromTicket_ = 0;
    /// A send from this host was lost.
    bool MayHaveRun_ = false;
    /// Sends from this host that were written to a target.
    std::uint32_t Sends_ = 0;
    bool IsOver_ = false;
  };
  using LegPointer = std::shared_ptr<Leg>;
  /// How a request ended at a host.
  struct LegEnd {
    bool Served_ = false;
    bool NotRun_ = false;
    steering::Refusal Why_ = steering::Refusal::None;
  };
  /// A send to a target that has not ended.
  struct Send {
    LegPointer Leg_;
    std::size_t Target_ = 0;
    std::uint64_t Ticket_ = 0;
    base::TimePoint SentAt_;
    bool NewConnection_ = false;
  };

  void schedule(base::Duration After, std::function<void()> Action);
  void runUntil(base::TimePoint Moment);
  /// \returns what hosts of a region know of all hosts.
  dispatch::FleetDemand viewFrom(const base::RegionId &Region) const;
  bool seesUnreached(const base::RegionId &From, const Host &Seen) const;
  void updateAll();
  void probeAll();
  void probe(std::size_t Number, const steering::TargetProbe &Asked);
  void arrive();
  void start(const LegPointer &Begun, std::uint32_t MaxSends);
  void apply(const LegPointer &Asked, const steering::Decision &Made);
  void sendToTarget(const LegPointer &Asked, const steering::Decision &Made);
  void forward(const LegPointer &Asked, const steering::Decision &Made);
  void begin(const LegPointer &Begun, std::uint32_t MaxSends);
  /// The first host hears nothing of a request that it forwarded.
  void hedge(const LegPointer &Silent, std::uint32_t MaxSends);
  base::Duration runTimeAt(std::size_t Target) const;
  bool failsAt(std::size_t Target) const;
  bool isCut(const Host &From, std::size_t Target, CutKind Kind) const;
  /// \returns how long a connect takes to fail; nothing: it succeeds.
  std::optional<base::Duration> connectFailure(const Host &From,
                                               std::size_t Target) const;
  bool takeIdle(Host &From, std::size_t Target, bool Idempotent);
  void write(std::uint64_t Id);
  void answer(std::uint64_t Id);
  void timeOut(std::uint64_t Id);
  void end(std::uint64_t Id, steering::SendOutcome Outcome,
           bool TimedOut = false);
  void loseSends(const std::function<bool(const Send &)> &Lost);
  void conclude(const LegPointer &Ended, const LegEnd &How);
  void tellForwarder(const LegPointer &Ended, const LegEnd &How);
  base::Duration delay(const Host &From, std::size_t Target) const;
  base::Duration delay(const Host &From, const Host &To) const;

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
  int Forwards_ = 0;
  int ForwardsBrokenOff_ = 0;
  double Slowness_ = 1;
  /// 0: no target fails.
  std::size_t FailingGroup_ = 0;
  std::multimap<base::TimePoint, std::function<void()>> Events_;
};

} // namespace lychee::tests

#endif
