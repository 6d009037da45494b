#ifndef LYCHEE_DISPATCH_WORKTIMES_H
#define LYCHEE_DISPATCH_WORKTIMES_H

#include "base/Time.h"

namespace lychee::dispatch {

/// How long a rule's requests run, learned apart for targets that are warm for
/// the request's object and for those that are not.
///
/// Load pattern: targets that are three times faster with an object they
/// handled lately. A mean over both kinds of run says nothing true of either: a
/// cold run looks like a slow target, so its objects are sent elsewhere, where
/// they run cold again. Where runs do not differ both times become the same.
class WorkTimes {
public:
  /// Before anything was answered, of rules that state no objective.
  static constexpr base::Duration FirstGuess = std::chrono::milliseconds(150);
  /// The same, as a part of the objective: operators state one that a warm run
  /// meets with room to spare.
  static constexpr double GuessedPart = 0.5;
  /// Cold against warm before a warm run was seen.
  static constexpr double AssumedRatio = 3.3;
  /// Shorter runs are within what clocks and links add.
  static constexpr double LeastRunSeconds = 0.001;
  /// Weight of one run once some were seen: the last twenty count.
  static constexpr double LeastWeight = 0.05;

  /// \param Objective  within which an answer of the rule is worth most; zero:
  /// none is stated.
  explicit WorkTimes(base::Duration Objective = {}) noexcept;

  /// \returns whether a run was seen here, or told of.
  bool isKnown() const noexcept { return Usual_.Count_ > 0; }
  /// Takes what another host learned, in seconds, where nothing is known here.
  void adopt(double Warm, double Cold, double Usual) noexcept;

  double warmSeconds() const noexcept { return Warm_.Seconds_; }
  /// Never less than a warm run.
  double coldSeconds() const noexcept;
  /// The mean over all runs: what each request ahead in a queue takes.
  double usualSeconds() const noexcept { return Usual_.Seconds_; }

  /// \returns whether a run of this length was warm, as far as can be told.
  /// \param KnownWarm  the target handled the object for this host lately.
  bool wasWarm(double Seconds, bool KnownWarm) const noexcept;

  /// Takes a run, without the time that it waited for a slot.
  void seen(double Seconds, bool KnownWarm) noexcept;

private:
  struct Mean {
    double Seconds_ = base::toSeconds(FirstGuess);
    int Count_ = 0;
    void add(double Seconds) noexcept;
  };

  Mean Warm_;
  Mean Cold_{base::toSeconds(FirstGuess) * AssumedRatio, 0};
  Mean Usual_;
};

} // namespace lychee::dispatch

#endif
