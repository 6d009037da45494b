#ifndef LYCHEE_DISPATCH_TARGETSTATEMENTS_H
#define LYCHEE_DISPATCH_TARGETSTATEMENTS_H

#include "dispatch/Announcement.h"
#include "dispatch/StatedRateLimiter.h"

namespace lychee::dispatch {

/// What one start of a target has stated about the requests that it takes: its
/// rate, a rest from this host, and that it leaves.
///
/// Load pattern: an overloaded target turns requests away and asks for a rest.
/// Each request that is sent there all the same costs it work, is turned away
/// again, and spends the retry budget of its service. So a target that rests
/// gets nothing from this host, by first sends, retries, hedges or probes,
/// until the last rest that it asked for is over.
///
/// A rest binds the host that was asked for it. A rate and a leaving hold for
/// all hosts, which announce them to each other. A leaving holds until the
/// target starts anew. \see StatementTable, which keeps them while the target's
/// entry comes and goes
class TargetStatements {
public:
  /// What a statement changed.
  struct Change {
    bool Rate_ = false;
    bool Rest_ = false;
    bool Leaving_ = false;
  };

  /// Processes the head of an answer to a request of this host.
  Change recordAnswer(const steering::AnswerHead &Head, base::TimePoint Now);

  /// Processes a leaving that another host announces.
  /// \param Relays  whether other regions are to be told, too.
  /// \returns whether it was not known before.
  bool mergeLeaving(const members::TargetLeaving &Known, bool Relays,
                    base::TimePoint Now);

  /// \returns whether this host may send requests there now, as far as the
  /// target's statements go; its rate is checked apart.
  bool acceptsRequests(base::TimePoint Now) const noexcept {
    return !isLeaving() && !isResting(Now);
  }
  bool isResting(base::TimePoint Now) const noexcept {
    return Now < RestUntil_;
  }
  /// \returns the end of the last rest that was asked for.
  base::TimePoint restUntil() const noexcept { return RestUntil_; }
  bool isLeaving() const noexcept { return LeavingSince_.has_value(); }

  StatedRateLimiter &rate() noexcept { return Rate_; }
  const StatedRateLimiter &rate() const noexcept { return Rate_; }

  /// \returns what to announce of a leaving. \param Target  key of the target
  /// and its start.
  members::TargetLeaving reportLeaving(std::uint64_t Target,
                                       base::TimePoint Now) const;
  /// \returns when a leaving is announced; never where there is none.
  const Announcement &leavingAnnouncement() const noexcept {
    return LeavingAnnouncement_;
  }

  /// \returns whether anything of it still binds this host.
  bool isInForce(base::TimePoint Now) const noexcept {
    return !acceptsRequests(Now) || Rate_.perSecond().has_value();
  }

private:
  bool recordRest(base::Duration Rest, base::TimePoint Now) noexcept;

  StatedRateLimiter Rate_;
  base::TimePoint RestUntil_;
  std::optional<base::TimePoint> LeavingSince_;
  Announcement LeavingAnnouncement_;
};

} // namespace lychee::dispatch

#endif
