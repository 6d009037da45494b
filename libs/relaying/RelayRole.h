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

/// Decides whether this host asks the store or waits for what others tell.
///
/// Load pattern: every change wakes a watch of every host, and each watch is a
/// call that the store has to answer and that is paid for. So of the hosts of a
/// region that are alive and have no trouble with the store, the first few by
/// hash ask; all hosts that hear each other agree on them without a word. Each
/// other host asks two of these.
///
/// Failure that the rest guards against: those few are dead, frozen, refused by
/// the store, or see other hosts than this one does. Symptom without a
/// safeguard: a leaving target goes on getting requests here, and where two of
/// a region's three hosts were cut off from the store the third, which one
/// reset call had put behind them, heard of no change for 5 s. The same where
/// both have watches that fell silent: they answer, and what they tell is old.
/// So not whether somebody answers decides, but how long ago the store answered
/// whoever told it: past a part of the time in which changes must be in force
/// the silent ones are passed over for the next in line, and a little later a
/// host asks itself, whatever it saw of the store before. That leaves time for
/// a call, and a call that comes ends its trouble.
class RelayRole {
public:
  /// Two, so that one that dies is no gap; more cost calls and gain nothing,
  /// unless a region has so many hosts that two small ones spend all of their
  /// processor on answering the others.
  static constexpr std::size_t AskersPerRegion = 2;
  static constexpr std::size_t HostsPerAsker = 25;
  /// So many of them each host asks.
  static constexpr std::size_t AskedByEach = 2;

  /// \returns how many hosts of a region of \p Hosts ask the store.
  static constexpr std::size_t askersFor(std::size_t Hosts) noexcept {
    const std::size_t Needed = (Hosts + HostsPerAsker - 1) / HostsPerAsker;
    return Needed > AskersPerRegion ? Needed : AskersPerRegion;
  }
  /// Without any answer for this long: three questions in a row.
  static constexpr base::Duration Silence = std::chrono::seconds(1);
  /// A call that failed speaks against this host for so long.
  static constexpr base::Duration TroubleMemory = std::chrono::seconds(5);

  RelayRole(members::HostDescriptor Self, const FreshnessTimeouts &Pace)
      : Self_(std::move(Self)), Pace_(Pace) {}

  /// Ranks the region's hosts anew. To be called a few times a second.
  void update(std::span<const members::HostView> Others, bool OwnLeaving,
              base::TimePoint Now);

  /// A call of this host to the store failed.
  void noteTrouble(base::TimePoint Now) noexcept {
    Trouble_ = Now;
    LastTrouble_ = Now;
  }
  /// A call of this host to the store came.
  void noteSuccess() noexcept { Trouble_.reset(); }
  /// The host at \p Address answered. \param Contact  when the store last
  /// answered it; nothing: it does not ask the store, or in vain.
  void noteAnswer(const std::string &Address,
                  std::optional<base::TimePoint> Contact, base::TimePoint Now);

  /// \returns whether this host has trouble with the store, to be told to all.
  bool isInTrouble(base::TimePoint Now) const noexcept {
    return Trouble_ && Now - *Trouble_ < TroubleMemory;
  }
  std::optional<base::TimePoint> lastTrouble() const noexcept {
    return LastTrouble_;
  }

  /// \returns whether this host is one of the few that ask.
  bool isReader() const noexcept { return Chosen_; }

  bool mustReadStore(base::TimePoint Now) const noexcept;

  /// Load pattern: the store refuses everybody for seconds, so nobody is told
  /// anything sound and all hosts ask it. While others answer, though they have
  /// trouble, too, this host tries once and then so many times less often that
  /// the region asks as often as its chosen few do; those tell as soon as one
  /// of them is served.
  /// \returns by how much longer to pause.
  double backoffFactor(base::TimePoint Now) const noexcept;

  /// A change is known everywhere this much after an asker heard it; three
  /// questions fit into Silence.
  static constexpr base::Duration AskEvery = std::chrono::milliseconds(300);
  /// A host that is asked anew, in place of one whose news are old, is asked so
  /// often until it has heard the store itself: the others' news are old then.
  static constexpr base::Duration AskAnewEvery = std::chrono::milliseconds(100);
  /// For so long at most: where the store refuses everybody none has heard it.
  static constexpr base::Duration AskedAnewFor = std::chrono::seconds(1);

  /// \returns whether the host at \p Address, one of askers(), is to be asked
  /// now; it counts as asked then.
  bool takeTurn(const std::string &Address, base::TimePoint Now);

  /// \returns the addresses of the hosts to be asked for news.
  const std::vector<std::string> &askers() const noexcept { return Askers_; }

private:
  /// One host of the region, as a candidate for asking the store.
  struct Candidate {
    bool InTrouble_ = false;
    std::uint64_t Hash_ = 0;
    std::string Address_;
  };

  /// A host that this one asks.
  struct Asker {
    base::TimePoint Since_;
    std::optional<base::TimePoint> AskedAt_;
    /// What it tells was too old; it is not asked for TroubleMemory.
    std::optional<base::TimePoint> PassedOverAt_;
    /// When the store last answered it; at first, since when it is asked.
    base::TimePoint Contact_;
  };

  /// Passes over those that are asked and whose news are too old.
  void passOver(base::TimePoint Now);
  bool isPassedOver(const std::string &Address) const;
  static bool goesBefore(const Candidate &Left,
                         const Candidate &Right) noexcept;
  void pickAskers(std::span<const Candidate> Ranked);
  void noteAskers(base::TimePoint Now);
  /// \returns how old news may be before this host asks itself.
  base::Duration patience() const noexcept;

  const members::HostDescriptor Self_;
  const FreshnessTimeouts Pace_;
  bool Chosen_ = true;
  std::size_t RegionHosts_ = 1;
  /// How many hosts of the region are to ask before this one.
  std::size_t Rank_ = 0;
  std::vector<std::string> Askers_;
  std::map<std::string, Asker> Asked_;
  /// Nothing since a call came.
  std::optional<base::TimePoint> Trouble_;
  std::optional<base::TimePoint> LastTrouble_;
  std::optional<base::TimePoint> Answered_;
  /// When the store last answered somebody who told this host.
  std::optional<base::TimePoint> Contact_;
};

} // namespace lychee::relaying

#endif
