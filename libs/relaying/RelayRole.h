#ifndef LYCHEE_RELAYING_RELAYROLE_H
#define LYCHEE_RELAYING_RELAYROLE_H

#include "base/Time.h"
#include "members/HostTable.h"
#include "relaying/FreshnessTimeouts.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lychee::relaying {

/// Decides whether this host reads the store or relies on updates from other
/// hosts.
///
/// Load pattern: every change completes a watch of every host, and each watch
/// is a call that the store has to answer and that is paid for. Only a few
/// hosts of a region therefore read the store: of the hosts that are alive and
/// have no recent store failure, the first by hash. Hosts that receive each
/// other's heartbeats agree on them without further messages. Every other host
/// polls two of these readers.
///
/// Failure: the readers are dead, frozen, cut off from the store, or see other
/// hosts than this one does. Without a safeguard a leaving target continues to
/// get requests. If two of a region's three hosts are cut off from the store
/// and a single reset call has ranked the third behind them, the third learns
/// of no change for 5 s. The same happens if both readers have watches that
/// fell silent: they respond, but with outdated updates.
///
/// The decision therefore depends not on whether a reader responds, but on how
/// long ago the store responded to the host that an update came from. After
/// part of the time within which changes must be in force, readers with
/// outdated updates are skipped in favour of the next in rank. A little later a
/// host reads the store itself, whatever its own recent calls did. This leaves
/// time for a call, and a successful call ends its state of failure.
class RelayRole {
public:
  /// Two, so that the death of one leaves no gap. More would cost calls without
  /// a benefit, unless a region has so many hosts that two small readers would
  /// spend all their processor time on responses.
  static constexpr std::size_t MinReaders = 2;
  static constexpr std::size_t HostsPerReader = 25;
  /// Number of readers that each host polls.
  static constexpr std::size_t ReadersPerHost = 2;

  /// \returns how many of a region's \p Hosts read the store.
  static constexpr std::size_t readersFor(std::size_t Hosts) noexcept {
    const std::size_t Needed = (Hosts + HostsPerReader - 1) / HostsPerReader;
    return Needed > MinReaders ? Needed : MinReaders;
  }
  /// Longest time without any response: three polls in a row.
  static constexpr base::Duration SilenceLimit = std::chrono::seconds(1);
  /// A failed call counts against this host for this long.
  static constexpr base::Duration FailureMemory = std::chrono::seconds(5);

  RelayRole(members::HostDescriptor Self, const FreshnessTimeouts &Timeouts)
      : Self_(std::move(Self)), Timeouts_(Timeouts) {}

  /// Recomputes the ranking of the region's hosts. To be called a few times per
  /// second.
  void update(std::span<const members::HostView> Others, bool LocalLeaving,
              base::TimePoint Now);

  /// Records that a call of this host to the store failed.
  void noteTrouble(base::TimePoint Now) noexcept {
    FailedAt_ = Now;
    LastFailure_ = Now;
  }
  /// Records that a call of this host to the store succeeded.
  void noteSuccess() noexcept { FailedAt_.reset(); }
  /// Records a response of the host at \p Address.
  /// \param StoreContact time at which the store last responded to that host;
  /// nothing if the host does not read the store, or fails to.
  void noteResponse(const std::string &Address,
                    std::optional<base::TimePoint> StoreContact,
                    base::TimePoint Now);

  /// \returns whether a recent call of this host to the store failed.
  /// Heartbeats report this to all hosts.
  bool isInTrouble(base::TimePoint Now) const noexcept {
    return FailedAt_ && Now - *FailedAt_ < FailureMemory;
  }
  std::optional<base::TimePoint> lastTrouble() const noexcept {
    return LastFailure_;
  }

  /// \returns whether this host is one of the region's readers.
  bool isReader() const noexcept { return IsReader_; }

  bool mustReadStore(base::TimePoint Now) const noexcept;

  /// Load pattern: the store refuses all hosts for seconds, so no updates are
  /// available and all hosts try to read it. As long as other hosts respond,
  /// even if the store refuses them too, this host tries once and then
  /// lengthens its pauses, so that the region as a whole calls the store as
  /// often as its readers alone would. These send updates as soon as one of
  /// them succeeds.
  /// \returns the factor by which to lengthen pauses.
  double backoffFactor(base::TimePoint Now) const noexcept;

  /// A change is known everywhere this long after a reader learned of it. Three
  /// polls fit into SilenceLimit.
  static constexpr base::Duration PollInterval = std::chrono::milliseconds(300);
  /// A newly chosen reader that replaces one with outdated updates is polled at
  /// this interval until it has read the store itself, because all updates are
  /// outdated then.
  static constexpr base::Duration FastPollInterval =
      std::chrono::milliseconds(100);
  /// Upper bound for polling at FastPollInterval; if the store refuses all
  /// hosts, no reader succeeds.
  static constexpr base::Duration FastPollTime = std::chrono::seconds(1);

  /// \returns whether the host at \p Address, one of readers(), is to be polled
  /// now; if so, the poll is recorded.
  bool tryPoll(const std::string &Address, base::TimePoint Now);

  /// \returns the addresses of the hosts to poll for updates.
  const std::vector<std::string> &readers() const noexcept { return Readers_; }

private:
  /// A host of the region as a candidate for reading the store.
  struct Candidate {
    bool StoreFailing_ = false;
    std::uint64_t Hash_ = 0;
    std::string Address_;
  };

  /// A host that this one polls.
  struct Reader {
    base::TimePoint Since_;
    std::optional<base::TimePoint> PolledAt_;
    /// Set if its updates were too old; it is not polled for FailureMemory
    /// then.
    std::optional<base::TimePoint> SkippedAt_;
    /// Time at which the store last responded to the reader; initially Since_.
    base::TimePoint StoreContact_;
  };

  /// Skips readers whose updates are too old.
  void skipStaleReaders(base::TimePoint Now);
  bool isSkipped(const std::string &Address) const;
  static bool ranksBefore(const Candidate &Left,
                          const Candidate &Right) noexcept;
  void pickReaders(std::span<const Candidate> Ranked);
  void trackReaders(base::TimePoint Now);
  /// \returns the age of updates at which this host reads the store itself.
  base::Duration readDelay() const noexcept;

  const members::HostDescriptor Self_;
  const FreshnessTimeouts Timeouts_;
  bool IsReader_ = true;
  std::size_t HostCount_ = 1;
  /// Number of hosts in the region that rank before this one.
  std::size_t Rank_ = 0;
  std::vector<std::string> Readers_;
  std::map<std::string, Reader> ReaderStates_;
  /// Reset by a successful call.
  std::optional<base::TimePoint> FailedAt_;
  std::optional<base::TimePoint> LastFailure_;
  std::optional<base::TimePoint> RespondedAt_;
  /// Time at which the store last responded to a host that sent updates to this
  /// one.
  std::optional<base::TimePoint> StoreContact_;
};

} // namespace lychee::relaying

#endif
