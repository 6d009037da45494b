#ifndef LYCHEE_PLACEMENT_TARGETPOOL_H
#define LYCHEE_PLACEMENT_TARGETPOOL_H

#include "base/Id.h"
#include "base/Random.h"
#include "base/Time.h"
#include "placement/PeerLoads.h"
#include "placement/TargetHealth.h"

#include <array>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lychee::placement {

/// A target as declared in the operators' settings.
struct TargetSpec {
  base::TargetId Id_;
  std::uint32_t Slots_ = 1;
  /// A leaving target gets no new requests.
  bool Leaving_ = false;
};

/// A target that was considered and not chosen.
struct PassedOver {
  TargetIndex Target_ = 0;
  std::string_view Reason_;
};

/// The target chosen for a request, and the reason.
struct TargetChoice {
  static constexpr std::size_t MaxPassedOver = 4;

  /// Empty where no target may be used now.
  std::optional<TargetIndex> Target_;
  /// With a target: "home", "two-choices", "scan", "suspect-measurement" or
  /// "probe". Without a target: "all-full", "no-target" or "all-lost".
  std::string_view Reason_;
  std::array<PassedOver, MaxPassedOver> PassedOver_{};
  std::uint32_t PassedOverCount_ = 0;

  std::span<const PassedOver> passedOver() const noexcept {
    return {PassedOver_.data(), PassedOverCount_};
  }
};

/// State of a pool, for the choice of a region.
struct PoolState {
  enum class Trust : std::uint8_t {
    /// Signs of bad health are taken as true; ejection applies.
    Trusted,
    /// More targets look bad than may be ejected, while some still answer: the
    /// measurement is doubted, ejections are ignored and requests are spread
    /// over all targets.
    Suspect,
    /// No target has answered recently: only probes are sent.
    Lost,
  };

  Trust Trust_ = Trust::Trusted;
  /// Number of targets that get requests.
  std::uint32_t UsableTargets_ = 0;
  std::uint32_t Slots_ = 0;
  /// Estimated requests in flight from all hosts.
  double InFlight_ = 0;
};

/// Selects the target for a request among the targets of one service in one
/// region.
///
/// Load patterns and the rules that answer them:
///  - Few slots, many hosts: hosts that all choose the least loaded target
///    collide there. This host tries its home slots first (\see homeSlots),
///    then draws two targets and takes the one with fewer requests in flight,
///    its own and other hosts' together, then scans up to MaxScanned_ targets
///    for a free slot. Where none is free the request waits here, in a fair
///    queue, and not inside a target.
///  - Load reports that lag, are wrong or stop: a report's weight falls with
///    its age and where this host saw it disproved. An unknown load is assumed
///    to be the mean of the pool: a target assumed to be empty would be
///    flooded, one assumed to be full would never be tried again.
///  - A target that fails or is slow is ejected for a while (\see
///    TargetHealth). A bad network or a bad release shows the same signs at
///    many targets at once and must not take a region down: see mayEject().
///  - Targets with cold caches: slow start.
///
/// Not thread-safe: the owner guards it by the lock of its service. choose()
/// does not allocate.
class TargetPool {
public:
  struct Limits {
    /// Whether home slots are tried before the two choices.
    bool PreferHomeSlots_ = true;
    /// Number of slots that must look free, beyond the one to be used, for a
    /// host to use a slot that is not its home. Negative: other hosts' requests
    /// in flight are an estimate, and an estimate that was half a slot too high
    /// kept requests waiting beside free slots
    /// (docs/measurements/decisions.md).
    double FreeSlotMargin_ = -0.5;
    /// Maximum number of targets scanned when neither the home slots nor the
    /// two choices find a free slot.
    std::uint32_t MaxScanned_ = 64;
  };

  explicit TargetPool(const base::HostId &Self) : TargetPool(Self, Limits()) {}
  TargetPool(const base::HostId &Self, const Limits &PoolLimits)
      : Limits_(PoolLimits), Self_(Self) {}
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /// Sets the declared targets. The state of targets that stay is kept; a
  /// target that is added after the first call begins with a slow start.
  void setTargets(std::span<const TargetSpec> Targets, base::TimePoint Now);

  /// Sets the other hosts that send to these targets.
  void setPeers(std::span<const base::HostId> Peers);

  /// Limits this host to its share of a target's slots. Other hosts' load at
  /// the target is then ignored, because they keep to their own shares. \see
  /// steering::SlotTable
  void setSlotShare(TargetIndex Target, std::uint32_t Slots) noexcept {
    Targets_[Target].SlotShare_ = Slots;
  }

  /// \returns the number of free slots in this host's share; zero while the
  /// target is ejected or assumed to be full.
  std::uint32_t freeSlots(TargetIndex Target,
                          base::TimePoint Now) const noexcept;

  /// \returns the number of requests that this host has in flight at \p Target.
  std::uint32_t inFlight(TargetIndex Target) const noexcept {
    return Targets_[Target].OwnInFlight_;
  }

  /// \returns the number of requests that this host has in flight in the whole
  /// pool.
  std::uint32_t ownInFlightTotal() const noexcept { return OwnInFlightTotal_; }

  /// \returns the targets that may get new requests.
  std::span<const TargetIndex> active() const noexcept { return Active_; }

  /// Chooses a target for a request. Does not record the send: see
  /// recordStart().
  /// \param Excluded  targets at which this request has just failed.
  TargetChoice choose(std::span<const TargetIndex> Excluded,
                      base::TimePoint Now, base::Random &Random);

  /// Records that a request was sent to a target.
  void recordStart(TargetIndex Target) noexcept;

  /// Records that a send ended.
  /// \param Latency  from the first byte written to the last byte read.
  void recordFinish(TargetIndex Target, Outcome Result, base::Duration Latency,
                    base::TimePoint Now) noexcept;

  /// Records a target's own load report.
  /// \param Load  running and queued requests at the target, from all hosts.
  void recordReport(TargetIndex Target, std::uint32_t Load,
                    base::TimePoint MeasuredAt) noexcept;

  /// Records that a target asked this host for a rest: it gets nothing, probes
  /// included, until the last rest that it asked for ends.
  void recordRest(TargetIndex Target, base::TimePoint Until) noexcept;

  bool isResting(TargetIndex Target, base::TimePoint Now) const noexcept {
    return Now < Targets_[Target].RestUntil_;
  }

  /// \returns the time until the first target ends its rest; nothing where one
  /// of them does not rest.
  std::optional<base::Duration> firstRestEnd(base::TimePoint Now) const;

  /// Records the requests that a peer has in flight.
  void recordPeerLoads(const base::HostId &Peer,
                       std::span<const InFlight> Counts, base::TimePoint Now) {
    Peers_.update(Peer, Counts, Now);
  }

  /// Updates the median latency, moving averages and home slots; to be called
  /// about every 100 ms.
  void tick(base::TimePoint Now);

  /// \returns this host's requests in flight by target, for its peers.
  std::vector<InFlight> ownInFlight() const;

  PoolState state(base::TimePoint Now) const noexcept;

  std::optional<TargetIndex> indexOf(const base::TargetId &Target) const;
  const base::TargetId &idOf(TargetIndex Target) const noexcept {
    return Targets_[Target].Id_;
  }

  /// \returns the estimated number of requests from all hosts at \p Target.
  double load(TargetIndex Target, base::TimePoint Now) const noexcept;

  bool isEjected(TargetIndex Target, base::TimePoint Now) const noexcept {
    return Targets_[Target].Health_.isEjected(Now);
  }

private:
  struct LoadReport {
    base::TimePoint MeasuredAt_;
    std::uint32_t Load_ = 0;
    /// This host's requests in flight at the target when the report arrived.
    std::uint32_t OwnInFlight_ = 0;
    /// Weight from 0 to 1; halved each time this host sees the report
    /// disproved.
    float Confidence_ = 0;
  };

  struct TargetState {
    base::TargetId Id_;
    std::uint32_t Slots_ = 1;
    std::uint32_t HomeSlots_ = 0;
    std::uint32_t OwnInFlight_ = 0;
    /// This host's share of the slots; empty while hosts share all slots
    /// freely.
    std::optional<std::uint32_t> SlotShare_;
    /// This host's rank among the hosts in a slow start of the target.
    double SlowStartRank_ = 0;
    bool Leaving_ = false;
    bool Removed_ = false;
    LoadReport Report_;
    /// Assumed to be full until then, after it shed a request.
    base::TimePoint AssumedFullUntil_;
    /// Wants nothing from this host until then.
    base::TimePoint RestUntil_;
    TargetHealth Health_;
  };

  struct Candidate {
    TargetIndex Target_ = 0;
    /// Requests at the target per usable slot.
    double Load_ = 0;
    bool HasFreeSlot_ = false;
  };

  bool isEligible(TargetIndex Target, std::span<const TargetIndex> Excluded,
                  base::TimePoint Now, TargetChoice &Choice) const noexcept;
  Candidate evaluate(TargetIndex Target, base::TimePoint Now) const noexcept;
  bool tryTwoChoices(std::span<const TargetIndex> From,
                     std::span<const TargetIndex> Excluded, base::TimePoint Now,
                     base::Random &Random, TargetChoice &Choice) const noexcept;
  bool tryHomeSlots(std::span<const TargetIndex> Excluded, base::TimePoint Now,
                    base::Random &Random, TargetChoice &Choice) const noexcept;
  bool tryScan(std::span<const TargetIndex> Excluded, base::TimePoint Now,
               base::Random &Random, TargetChoice &Choice) const noexcept;
  TargetChoice probe(base::TimePoint Now, base::Random &Random) noexcept;
  bool mayEject(TargetHealth::Symptom Found,
                base::TimePoint Now) const noexcept;
  void updateEjection(TargetIndex Target, base::TimePoint Now) noexcept;
  void refreshActive();
  void refreshHomeSlots();
  TargetIndex addTarget(const TargetSpec &Spec, base::TimePoint Now);
  PoolState::Trust trust(base::TimePoint Now) const noexcept;
  double estimateFromPeers(TargetIndex Target, double &Weight,
                           base::TimePoint Now) const noexcept;

  Limits Limits_;
  base::HostId Self_;
  std::vector<base::HostId> Members_;
  std::vector<TargetState> Targets_;
  std::unordered_map<base::TargetId, TargetIndex> IndexOf_;
  /// Targets that may get new requests, and those of them with home slots.
  std::vector<TargetIndex> Active_;
  std::vector<TargetIndex> HomeTargets_;
  PeerLoads Peers_;
  std::uint32_t OwnInFlightTotal_ = 0;
  /// Moving average of this host's requests in flight.
  double OwnSmoothed_ = 0;
  base::TimePoint LastTick_;
  base::TimePoint LastHomeRefresh_;
  base::Duration MedianLatency_{};
  base::TimePoint SuspectUntil_;
  base::TimePoint LastAnswer_;
  base::TimePoint LastProbe_;
  /// Unreachable sends since the last answer of any target.
  std::uint32_t UnreachableSinceAnswer_ = 0;
  /// Buffer of tick(), kept to avoid allocations.
  std::vector<base::Duration> Latencies_;
};

} // namespace lychee::placement

#endif
