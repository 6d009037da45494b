#ifndef LYCHEE_RELAYING_RELAYROLE_H
#define LYCHEE_RELAYING_RELAYROLE_H

#include "base/Time.h"
#include "members/HostBook.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lychee::relaying {

/// Decides whether this host asks the store or waits for what others tell.
///
/// Load pattern: every change wakes a watch of every host, and each watch is a
/// call that the store has to answer and that is paid for: at 60 hosts 7,481
/// calls in 50 s, the largest price of the day. So of the hosts of a region
/// that are alive and have no trouble with the store, the first few by hash
/// ask; all hosts that hear each other agree on them without a word.
///
/// Failure that the rest guards against: those few are dead, frozen, refused by
/// the store, or see other hosts than this one does. Symptom without a
/// safeguard: a leaving target goes on getting requests here, and where two of
/// a region's three hosts were cut off from the store the third, which one
/// reset call had put behind them, heard of no change for 5 s. A host that was
/// told nothing sound for Silence therefore asks itself, whatever it saw of the
/// store before, and a call that comes ends its trouble.
class RelayRole {
public:
  /// Two, so that one that dies is no gap; more cost calls and gain nothing.
  static constexpr std::size_t AskersPerRegion = 2;
  /// Without any answer for this long: three questions in a row.
  static constexpr base::Duration Silence = std::chrono::seconds(1);
  /// With answers that tell of trouble: others take over meanwhile, since those
  /// in trouble say so in their heartbeats.
  static constexpr base::Duration TroublePatience = std::chrono::seconds(2);
  /// A call that failed speaks against this host for so long.
  static constexpr base::Duration TroubleMemory = std::chrono::seconds(5);

  explicit RelayRole(members::HostCard Self) : Self_(std::move(Self)) {}

  /// Ranks the region's hosts anew. To be called a few times a second.
  void update(std::span<const members::HostView> Others, bool OwnLeaving,
              base::TimePoint Now);

  /// A call of this host to the store failed.
  void noteTrouble(base::TimePoint Now) noexcept {
    Trouble_ = Now;
    LastTrouble_ = Now;
  }
  /// A call of this host to the store came.
  void noteCall() noexcept { Trouble_.reset(); }
  /// Another host answered. \p Sound  it asks the store itself, with success.
  void noteAnswer(bool Sound, base::TimePoint Now) noexcept;

  /// \returns whether this host has trouble with the store, to be told to all.
  bool isInTrouble(base::TimePoint Now) const noexcept {
    return Trouble_ && Now - *Trouble_ < TroubleMemory;
  }
  std::optional<base::TimePoint> lastTrouble() const noexcept {
    return LastTrouble_;
  }

  bool mustAsk(base::TimePoint Now) const noexcept;

  /// Load pattern: the store refuses everybody for seconds, so nobody is told
  /// anything sound and all hosts ask it: 2,385 refused calls of 71 hosts in
  /// 4.5 s. While others answer, though they have trouble, too, this host tries
  /// once and then so many times less often that the region asks as often as
  /// its chosen few do; those tell as soon as one of them is served.
  /// \returns by how much longer to pause.
  double spread(base::TimePoint Now) const noexcept;

  /// \returns the addresses of the hosts to be asked for news.
  const std::vector<std::string> &askers() const noexcept { return Askers_; }

private:
  const members::HostCard Self_;
  bool Chosen_ = true;
  std::size_t RegionHosts_ = 1;
  std::vector<std::string> Askers_;
  /// Nothing since a call came.
  std::optional<base::TimePoint> Trouble_;
  std::optional<base::TimePoint> LastTrouble_;
  std::optional<base::TimePoint> Answered_;
  std::optional<base::TimePoint> Sound_;
};

} // namespace lychee::relaying

#endif
