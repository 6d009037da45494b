#ifndef LYCHEE_DISPATCH_STATEDRATELIMITER_H
#define LYCHEE_DISPATCH_STATEDRATELIMITER_H

#include "dispatch/Announcement.h"
#include "dispatch/RateBucket.h"
#include "members/Heartbeat.h"
#include "steering/Steering.h"

namespace lychee::dispatch {

/// Knows the rate that one target states, and limits what all hosts together
/// send to it.
///
/// Load pattern: a target in need takes a few requests per second, and a dozen
/// or hundreds of hosts send to it, each less than that. Without a limit on the
/// sum the target gets several times what it takes, although no host sends more
/// than the rate. So one host owns the rate, by SharedRateOwners, and grants
/// each request a token, its own and those of the other hosts; a request
/// without one goes to another target at once.
///
/// A statement counts from when it was heard, at whichever host: the newest one
/// holds. Hosts announce changes to each other, and otherwise learn them from
/// their own requests, so a lost announcement costs nothing lasting.
class StatedRateLimiter {
public:
  /// Share of the rate that an owner grants. While an owner is cut off it and
  /// its successor both grant tokens: 1.5 times the rate together.
  static constexpr double OwnerShare = 0.75;
  /// Tokens that an owner saves up: requests arrive at random.
  static constexpr double MaxTokens = 2;
  /// A target that takes nothing gets a request now and then, as only its
  /// answers tell when that ends.
  static constexpr double MinPerSecond = 0.2;
  /// A rate that does not change is announced again at this interval, by the
  /// host that hears it next, for hosts that have started since.
  static constexpr base::Duration RefreshInterval = std::chrono::seconds(4);

  // What is known.

  /// Processes the target's answer to a request of this host.
  /// \param EndsRate  whether the absence of a rate says that it is over.
  /// \returns whether the known rate changed.
  bool recordAnswer(const steering::StatedRate &Stated, bool EndsRate,
                    base::TimePoint SentAt, base::TimePoint Now);

  /// Processes what another host knows.
  /// \param Relays  whether other regions are to be told, too.
  /// \returns whether the known rate changed.
  bool merge(const members::TargetRate &Known, bool Relays,
             base::TimePoint Now);

  /// \returns the rate in requests per second; nothing: none is stated.
  std::optional<double> perSecond() const noexcept { return PerSecond_; }

  /// \returns what is known. \param Target  key of the target and its start.
  members::TargetRate report(std::uint64_t Target, base::TimePoint Now) const;

  /// \returns when it is announced.
  const Announcement &announcement() const noexcept { return Announcement_; }

  // Tokens, at the owner.

  /// \returns nothing: a token was taken; else the time until there is one.
  std::optional<base::Duration> take(base::TimePoint Now) noexcept;
  void refund() noexcept { Tokens_.refund(); }

  // Tokens, at the other hosts.

  /// The owner denied a token, or did not respond.
  void recordDenial(base::TimePoint Until) noexcept {
    DeniedUntil_ = std::max(DeniedUntil_, Until);
  }
  base::TimePoint deniedUntil() const noexcept { return DeniedUntil_; }

private:
  bool setRate(std::optional<double> PerSecond, base::TimePoint HeardAt,
               base::TimePoint Now) noexcept;
  /// Adds the tokens since the last refill.
  /// \returns how many are added per second at the rate \p Stated.
  double refill(double Stated, base::TimePoint Now) noexcept;

  std::optional<double> PerSecond_;
  base::TimePoint HeardAt_;
  Announcement Announcement_;
  /// When any host announced it last.
  base::TimePoint LastAnnounced_;
  RateBucket Tokens_;
  base::TimePoint DeniedUntil_;
};

} // namespace lychee::dispatch

#endif
