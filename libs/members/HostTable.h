#ifndef LYCHEE_MEMBERS_HOSTTABLE_H
#define LYCHEE_MEMBERS_HOSTTABLE_H

#include "members/Heartbeat.h"
#include "members/RegionBook.h"

#include <map>
#include <mutex>
#include <set>
#include <span>
#include <vector>

namespace lychee::members {

/// A host as others see it.
struct HostView {
  HostDescriptor Descriptor_;
  bool Ready_ = false;
  bool Leaving_ = false;
  /// Heard lately; look-ups may name it.
  bool Alive_ = false;
  /// It may still be spending its part of what all hosts share.
  bool HoldsShare_ = false;
  /// A call of it to the store failed lately.
  bool StoreTrouble_ = false;
  /// Nothing of a host of another region; RegionView tells the region's.
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
};

/// A host that the store lists.
struct ListedHost {
  std::string Address_;
  /// Empty: not told.
  base::RegionId Region_;
};

/// What a host tells of itself to those that speak for its region.
struct LocalHostSummary {
  bool Ready_ = false;
  bool Leaving_ = false;
  std::vector<CustomerDemand> Demands_;
  std::vector<ServiceDemand> Loads_;
  std::vector<retrying::CrashEvidence> Evidence_;
};

/// Knows the other hosts of its region by their heartbeats, at two speeds:
/// look-ups drop a silent host fast, since callers sent to it wait in vain;
/// what it may still be spending goes to others only after it can no longer
/// spend it.
///
/// Not silent hosts alone: where most known hosts fall silent together, this
/// host is the one that was cut off, and it must not take over what the others
/// hold. \see isCutOff
///
/// Hosts of other regions are known by what two speakers of each tell, so that
/// nothing grows with hosts x hosts between regions. \see RegionBook
///
/// Thread-safe.
class HostTable {
public:
  /// Four heartbeats of 500 ms: datagrams are lost now and then, four in a row
  /// of 3% lossy ones once in a million.
  static constexpr base::Duration AliveFor = std::chrono::seconds(2);
  /// Two, so that one that dies is no gap.
  static constexpr std::size_t SpeakerCount = 2;
  /// A silent host's share stays reserved for so long: its keys go stale 4.7 s
  /// after its last sound contact with the store, and then it spends nothing.
  static constexpr base::Duration ReservedFor = std::chrono::seconds(7);
  /// A host that was silent for so long is forgotten, and no heartbeat goes to
  /// it but where the store's list still names it.
  static constexpr base::Duration RememberedFor = std::chrono::seconds(30);

  explicit HostTable(HostDescriptor Self) : Self_(std::move(Self)) {}

  /// Takes a heartbeat. \returns whether a host was heard for the first time,
  /// or anew after silence, or changed its readiness.
  bool receive(const Heartbeat &Said, base::TimePoint Now);

  /// Hosts that the store lists; heartbeats go to them, too.
  void setListed(std::span<const ListedHost> Hosts);
  void addSeeds(std::span<const std::string> Addresses);

  /// \returns the addresses to send heartbeats to: hosts of this region, and
  /// those of which the region is not known yet.
  std::vector<std::string> recipients(base::TimePoint Now) const;

  /// Takes what a speaker of another region tells. \returns whether it is to be
  /// passed on.
  bool heardNews(const RegionUpdate &Said, base::TimePoint Now);

  /// A host that has just started knows its region in part only. Told as the
  /// whole, that makes other regions take the rest of each rate for theirs, and
  /// a busy customer gets more than its rate. What was told before stands
  /// meanwhile. Where all have just started nobody knows better.
  static constexpr base::Duration Settling = std::chrono::seconds(2);
  /// Within this a host that starts hears whether others have been there.
  static constexpr base::Duration FirstHearing = std::chrono::milliseconds(700);
  /// Heartbeats of a host that has not just started.
  static constexpr std::uint64_t SettledBeats = 8;

  /// \param OwnAge  how long ago this host started.
  /// \returns whether this host is one that tells other regions of its own.
  bool isSpeaker(bool OwnLeaving, base::Duration OwnAge,
                 base::TimePoint Now) const;
  /// \returns what to tell them.
  RegionSummary summary(const LocalHostSummary &Own, base::TimePoint Now) const;
  /// \returns the addresses of other regions' speakers, or of some hosts of
  /// regions whose speakers are not known.
  std::vector<std::string> farSpeakers(base::TimePoint Now) const;
  /// News go from speaker to speaker, and from there to all hosts of a region.
  /// A host that is told directly and is no speaker passes them to those that
  /// are: the teller knew an older order.
  /// \returns the addresses to pass news on to that came from \p Sender.
  std::vector<std::string> passOnTo(const std::string &Sender, bool OwnLeaving,
                                    base::TimePoint Now) const;

  /// \returns the other regions.
  std::vector<RegionView> regions(base::TimePoint Now) const;

  /// \returns every remembered host but this one.
  std::vector<HostView> others(base::TimePoint Now) const;

  /// \returns whether most of the hosts that were heard within ReservedFor are
  /// silent now, so that this host must not take their part over.
  bool isCutOff(base::TimePoint Now) const;

  /// \returns how many hosts hold a share: this one, those that are heard, and
  /// silent ones until ReservedFor.
  std::size_t shareHolders(base::TimePoint Now) const;

  /// \returns whether this host is the one that all hosts pick for \p Matter,
  /// by highest hash among the hosts that are alive and serve.
  bool isElectedFor(std::uint64_t Matter, base::TimePoint Now) const;

  const HostDescriptor &self() const noexcept { return Self_; }

private:
  struct Known {
    Heartbeat Last_;
    base::TimePoint HeardAt_;
  };

  /// A host that may speak for its region.
  struct Candidate {
    std::uint64_t Hash_ = 0;
    std::string Address_;
  };

  static bool isAlive(const Known &Each, base::TimePoint Now) noexcept;
  bool isNear(const Known &Each) const {
    return Each.Last_.Sender_.Region_ == Self_.Region_;
  }
  /// \returns the addresses of the first by hash.
  static std::vector<std::string> firstOf(std::vector<Candidate> All);
  std::vector<std::string> ownSpeakers(bool OwnLeaving,
                                       base::TimePoint Now) const;
  /// Takes what changed since the last whole heartbeat into what is known.
  static void take(const Heartbeat &Said, Heartbeat &Into);

  const HostDescriptor Self_;
  mutable std::mutex Lock_;
  std::map<base::HostId, Known> Known_;
  /// By address.
  std::map<std::string, base::RegionId> Listed_;
  RegionBook Regions_;
  std::set<std::string> Seeds_;
};

} // namespace lychee::members

#endif
