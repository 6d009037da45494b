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

/// A target as the operators declare it.
struct TargetSpec {
  base::TargetId Id_;
  std::uint32_t Slots_ = 1;
  /// A leaving target gets no new work.
  bool Leaving_ = false;
};

/// A target that was weighed and not taken.
struct PassedOver {
  TargetIndex Target_ = 0;
  std::string_view Reason_;
};

/// Where a request goes, and why.
struct TargetChoice {
  static constexpr std::size_t MostPassed = 4;

  /// Nothing where no target may be used now.
  std::optional<TargetIndex> Target_;
  /// With a target: "home", "two-choices", "scan", "suspect-measurement" or
  /// "probe". Without: "all-full", "no-target" or "all-lost".
  std::string_view Reason_;
  std::array<PassedOver, MostPassed> Passed_{};
  std::uint32_t PassedCount_ = 0;

  std::span<const PassedOver> passed() const noexcept {
    return {Passed_.data(), PassedCount_};
  }
};

/// How a pool stands, for the choice of a region.
struct PoolState {
  enum class Trust : std::uint8_t {
    /// Signs of ill health are believed.
    Sound,
    /// Most targets look bad while some still answer: the measurement is
    /// doubted, and work is spread over all.
    Suspect,
    /// None has answered of late: only probes are sent.
    Lost,
  };

  Trust Trust_ = Trust::Sound;
  /// Targets that get work.
  std::uint32_t Usable_ = 0;
  std::uint32_t Slots_ = 0;
  /// Requests in flight, all hosts, estimated.
  double InFlight_ = 0;
};

/// The targets of one service in one region: which of them takes a request.
///
/// Load patterns and rules:
///  - Few slots, many hosts: hosts that all choose the least loaded target
///    meet there. This host begins with its home slots (\see homeSlots), then
///    draws two targets and takes the one with less in flight, own and others'
///    together, then looks at up to MostScanned for one with a free slot. None
///    free: the request waits here, in a fair line, and not inside a target.
///  - Reports that lag, lie or stop: a report's weight falls with its age and
///    where this host saw it proven wrong. What is not known is taken to be
///    the mean of the pool: as empty, an unknown target would be flooded, as
///    full it would never be heard of again.
///  - A target that fails or is slow: ejected for a while (\see TargetHealth).
///    Signs that a bad network or a bad release gives of many targets at once
///    must not take a region down: see mayEject().
///  - Cold targets: slow start.
///
/// Not thread-safe: the owner guards it by its service's lock. choose()
/// allocates nothing.
class TargetPool {
public:
  struct Limits {
    /// Whether home slots go before the two choices.
    bool PreferHomeSlots_ = true;
    /// Slots that must look free, beyond the one to be used, for a host to use
    /// a slot that is not its home. Less than none: what others have in flight
    /// is an estimate, and half a slot too much of it kept requests waiting
    /// beside free slots (docs/measurements/decisions.md).
    double FreeSlotMargin_ = -0.5;
    /// Most targets looked at when neither home nor draw finds a free slot.
    std::uint32_t MaxScanned_ = 64;
  };

  explicit TargetPool(const base::HostId &Self) : TargetPool(Self, Limits()) {}
  TargetPool(const base::HostId &Self, const Limits &Set)
      : Limits_(Set), Self_(Self) {}
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /// Sets the declared targets. What is known of those that stay is kept; a
  /// target that appears later than the first set starts slowly.
  void setTargets(std::span<const TargetSpec> Targets, base::TimePoint Now);

  /// Sets the other hosts that send to these targets.
  void setPeers(std::span<const base::HostId> Peers);

  /// Limits this host to its own part of a target's slots. What others do there
  /// then no longer matters, as they keep to their parts. \see
  /// steering::SlotTable
  void setShare(TargetIndex Target, std::uint32_t Slots) noexcept {
    Entries_[Target].Share_ = Slots;
  }

  /// \returns how many slots of this host's part are free; zero while the
  /// target gets no work.
  std::uint32_t freeShare(TargetIndex Target,
                          base::TimePoint Now) const noexcept;

  /// \returns what this host has in flight there.
  std::uint32_t inFlight(TargetIndex Target) const noexcept {
    return Entries_[Target].Own_;
  }

  /// \returns what this host has in flight in the whole pool.
  std::uint32_t ownTotal() const noexcept { return OwnTotal_; }

  /// \returns the targets that may get work.
  std::span<const TargetIndex> active() const noexcept { return Active_; }

  /// \param Excluded  targets this request was just sent to in vain.
  TargetChoice choose(std::span<const TargetIndex> Excluded,
                      base::TimePoint Now, base::Random &Random);

  /// A request was sent to a target.
  void recordStart(TargetIndex Target) noexcept;

  /// It ended. \param Took  from the first byte written to the last one read.
  void recordFinish(TargetIndex Target, Outcome Seen, base::Duration Took,
                    base::TimePoint Now) noexcept;

  /// A target reported its load: what it works on and holds in line, from all
  /// hosts.
  void recordReport(TargetIndex Target, std::uint32_t Load,
                    base::TimePoint MeasuredAt) noexcept;

  /// A peer told what it has in flight.
  void recordPeerLoads(const base::HostId &Peer,
                       std::span<const InFlight> Counts, base::TimePoint Now) {
    Peers_.heard(Peer, Counts, Now);
  }

  /// Brings the medians up to date; every 100 ms or so.
  void tick(base::TimePoint Now);

  /// \returns what this host has in flight, for its peers.
  std::vector<InFlight> ownInFlight() const;

  PoolState state(base::TimePoint Now) const noexcept;

  std::optional<TargetIndex> indexOf(const base::TargetId &Target) const;
  const base::TargetId &nameOf(TargetIndex Target) const noexcept {
    return Entries_[Target].Id_;
  }

  /// \returns the requests that are estimated to be at the target now, from
  /// all hosts.
  double load(TargetIndex Target, base::TimePoint Now) const noexcept;

  bool isEjected(TargetIndex Target, base::TimePoint Now) const noexcept {
    return Entries_[Target].Health_.isEjected(Now);
  }

private:
  struct Report {
    base::TimePoint At_;
    std::uint32_t Load_ = 0;
    /// This host's own part of it.
    std::uint32_t Own_ = 0;
    /// Falls each time this host saw the report proven wrong.
    float Trust_ = 0;
  };

  struct Entry {
    base::TargetId Id_;
    std::uint32_t Slots_ = 1;
    std::uint32_t Home_ = 0;
    std::uint32_t Own_ = 0;
    /// This host's part of the slots; without, all hosts share them freely.
    std::optional<std::uint32_t> Share_;
    /// This host's place among the hosts in a slow start of the target.
    double Place_ = 0;
    bool Leaving_ = false;
    bool Gone_ = false;
    Report Report_;
    /// Taken to be full until then, after it shed.
    base::TimePoint FullUntil_;
    TargetHealth Health_;
  };

  struct Weighed {
    TargetIndex Target_ = 0;
    /// Requests at the target for each slot that may be used.
    double Load_ = 0;
    bool Free_ = false;
  };

  bool mayUse(TargetIndex Target, std::span<const TargetIndex> Excluded,
              base::TimePoint Now, TargetChoice &Choice) const noexcept;
  Weighed weigh(TargetIndex Target, base::TimePoint Now) const noexcept;
  bool tryTwo(std::span<const TargetIndex> From,
              std::span<const TargetIndex> Excluded, base::TimePoint Now,
              base::Random &Random, TargetChoice &Choice) const noexcept;
  bool tryHome(std::span<const TargetIndex> Excluded, base::TimePoint Now,
               base::Random &Random, TargetChoice &Choice) const noexcept;
  bool tryScan(std::span<const TargetIndex> Excluded, base::TimePoint Now,
               base::Random &Random, TargetChoice &Choice) const noexcept;
  TargetChoice probe(base::TimePoint Now, base::Random &Random) noexcept;
  bool mayEject(TargetHealth::Sign Seen, base::TimePoint Now) const noexcept;
  void judge(TargetIndex Target, base::TimePoint Now) noexcept;
  void refreshLists();
  void refreshHomes();
  TargetIndex addEntry(const TargetSpec &Spec, base::TimePoint Now);
  PoolState::Trust trust(base::TimePoint Now) const noexcept;
  double othersWithoutReport(TargetIndex Target, double &Weight,
                             base::TimePoint Now) const noexcept;

  Limits Limits_;
  base::HostId Self_;
  std::vector<base::HostId> Members_;
  std::vector<Entry> Entries_;
  std::unordered_map<base::TargetId, TargetIndex> IndexOf_;
  /// Targets that may get work, and those of them with home slots.
  std::vector<TargetIndex> Active_;
  std::vector<TargetIndex> Homes_;
  PeerLoads Peers_;
  std::uint32_t OwnTotal_ = 0;
  /// This host's requests in flight of late.
  double OwnSmoothed_ = 0;
  base::TimePoint TickedAt_;
  base::TimePoint HomesAt_;
  base::Duration MedianLatency_{};
  base::TimePoint SuspectUntil_;
  base::TimePoint LastAnswer_;
  base::TimePoint LastProbe_;
  /// Unreachable sends since the last answer of any target.
  std::uint32_t UnreachableSinceAnswer_ = 0;
  std::vector<base::Duration> Scratch_;
};

} // namespace lychee::placement

#endif
