#ifndef LYCHEE_MEMBERS_HOSTTABLE_H
#define LYCHEE_MEMBERS_HOSTTABLE_H

#include "members/Heartbeat.h"
#include "members/RegionTable.h"

#include <map>
#include <mutex>
#include <set>
#include <span>
#include <vector>

namespace lychee::members {

/// A host as seen by other hosts.
struct HostView {
  HostDescriptor Descriptor_;
  bool Ready_ = false;
  bool Leaving_ = false;
  /// A heartbeat was received recently; look-ups may return the host.
  bool Alive_ = false;
  /// The host may still be spending its share of limits that all hosts divide
  /// among themselves.
  bool HoldsShare_ = false;
  /// A recent call of the host to the store failed.
  bool StoreTrouble_ = false;
  /// Demands_ and Loads_ are empty for hosts of other regions; RegionView holds
  /// the sums of their region.
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
  /// The host reaches no targets; it forwards requests to hosts that do.
  bool TargetsUnreached_ = false;
  /// Empty for hosts of other regions.
  std::vector<ServicePressure> Pressures_;
};

/// A host that is listed in the store.
struct ListedHost {
  std::string Address_;
  /// Empty: unknown.
  base::RegionId Region_;
};

/// State of this host that goes into its region's summary.
struct LocalHostSummary {
  bool Ready_ = false;
  bool Leaving_ = false;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
  std::vector<TargetRate> TargetRates_;
  std::vector<TargetLeaving> TargetLeavings_;
  bool TargetsUnreached_ = false;
};

/// Tracks the other hosts of the region by their heartbeats, with two
/// time-outs. Look-ups drop a silent host quickly, because connects to a dead
/// host fail. Its share of divided limits goes to others only once the host can
/// no longer spend it.
///
/// If most known hosts fall silent at the same time, this host is the one that
/// is cut off, and it must not take over the others' shares. \see isCutOff
///
/// Hosts of other regions are known through the two representatives of each
/// region, so that traffic between regions does not grow with hosts x hosts.
/// \see RegionTable
///
/// Thread-safe.
class HostTable {
public:
  /// Four heartbeat intervals of 500 ms. Datagrams are lost now and then; with
  /// 3% loss, four in a row are lost once in a million.
  static constexpr base::Duration AliveFor = std::chrono::seconds(2);
  /// Two, so that the death of one leaves no gap.
  static constexpr std::size_t RepresentativeCount = 2;
  /// The share of a silent host stays reserved for this long. Its keys become
  /// stale 4.7 s after its last successful contact with the store, and after
  /// that it spends nothing.
  static constexpr base::Duration ReservedFor = std::chrono::seconds(7);
  /// A host that was silent for this long is forgotten and gets no more
  /// heartbeats, unless the store still lists it.
  static constexpr base::Duration RetentionTime = std::chrono::seconds(30);

  explicit HostTable(HostDescriptor Self) : Self_(std::move(Self)) {}

  /// Processes a heartbeat.
  /// \returns whether the host was seen for the first time or again after
  /// silence, or changed its Ready_, Leaving_ or TargetsUnreached_ state.
  bool receive(const Heartbeat &Message, base::TimePoint Now);

  /// Sets the hosts listed in the store; heartbeats are sent to them, too.
  void setListed(std::span<const ListedHost> Hosts);
  void addSeeds(std::span<const std::string> Addresses);

  /// \returns the addresses to send heartbeats to: hosts of this region, and
  /// hosts whose region is not known yet.
  std::vector<std::string> recipients(base::TimePoint Now) const;

  /// Processes an update from a representative of another region.
  /// \returns whether it is to be forwarded.
  bool receiveUpdate(const RegionUpdate &Message, base::TimePoint Now);

  /// A host that has just started knows only part of its region. If it
  /// announced that part as the region's demand, other regions would take the
  /// rest of each rate for themselves, and a busy customer would get more than
  /// its rate. A host therefore does not act as a representative for
  /// SettlingTime; its region's last update stays in force meanwhile. If all
  /// hosts of the region have just started, no host knows more and
  /// DiscoveryTime applies.
  static constexpr base::Duration SettlingTime = std::chrono::seconds(2);
  /// Within this time a starting host learns whether other hosts were running
  /// before.
  static constexpr base::Duration DiscoveryTime =
      std::chrono::milliseconds(700);
  /// A host that has sent this many heartbeats has not just started.
  static constexpr std::uint64_t SettledHeartbeats = 8;

  /// \param LocalAge time since this host started.
  /// \returns whether this host is one of its region's representatives, which
  /// send updates to other regions.
  bool isRepresentative(bool LocalLeaving, base::Duration LocalAge,
                        base::TimePoint Now) const;
  /// \returns the summary of this region for other regions.
  RegionSummary summary(const LocalHostSummary &Local,
                        base::TimePoint Now) const;
  /// \returns the addresses of other regions' representatives, and of some
  /// hosts of each region whose representatives are not known.
  std::vector<std::string> remoteRepresentatives(base::TimePoint Now) const;
  /// Updates go from representative to representative, and from there to all
  /// hosts of a region. A host that receives an update directly but is not a
  /// representative forwards it to those that are: the sender used an outdated
  /// election.
  /// \returns the addresses to forward an update to that came from \p Sender.
  std::vector<std::string> forwardRecipients(const std::string &Sender,
                                             bool LocalLeaving,
                                             base::TimePoint Now) const;

  /// \returns the other regions.
  std::vector<RegionView> regions(base::TimePoint Now) const;

  /// \returns all known hosts except this one.
  std::vector<HostView> others(base::TimePoint Now) const;

  /// \returns whether most hosts that were seen within ReservedFor are silent
  /// now. If so, this host must not take over their shares.
  bool isCutOff(base::TimePoint Now) const;

  /// \returns the number of hosts that hold a share: this one, live hosts, and
  /// silent ones until ReservedFor has passed.
  std::size_t shareHolders(base::TimePoint Now) const;

  const HostDescriptor &self() const noexcept { return Self_; }

private:
  struct Peer {
    Heartbeat Last_;
    base::TimePoint ReceivedAt_;
  };

  /// A host that may represent its region.
  struct Candidate {
    std::uint64_t Hash_ = 0;
    std::string Address_;
  };

  static bool isAlive(const Peer &Entry, base::TimePoint Now) noexcept;
  bool isInOwnRegion(const Peer &Entry) const {
    return Entry.Last_.Sender_.Region_ == Self_.Region_;
  }
  /// \returns the addresses of the RepresentativeCount candidates with the
  /// highest hash.
  static std::vector<std::string>
  electRepresentatives(std::vector<Candidate> Candidates);
  std::vector<std::string> ownRepresentatives(bool LocalLeaving,
                                              base::TimePoint Now) const;
  /// Merges a heartbeat into the known state. A delta only changes the demands
  /// that it holds.
  static void merge(const Heartbeat &Message, Heartbeat &Stored);

  const HostDescriptor Self_;
  mutable std::mutex Lock_;
  std::map<base::HostId, Peer> Peers_;
  /// Region by address.
  std::map<std::string, base::RegionId> Listed_;
  RegionTable Regions_;
  std::set<std::string> Seeds_;
};

} // namespace lychee::members

#endif
