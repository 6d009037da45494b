#include "dispatch/StatedRateLimiter.h"

#include <algorithm>

namespace lychee::dispatch {

bool StatedRateLimiter::setRate(std::optional<double> PerSecond,
                                base::TimePoint HeardAt,
                                base::TimePoint Now) noexcept {
  const bool Changed = PerSecond != PerSecond_;
  if (Changed)
    DeniedUntil_ = Now;
  if (Changed && PerSecond_)
    refill(*PerSecond_, Now);
  else if (Changed)
    Tokens_ = RateBucket(Now);
  PerSecond_ = PerSecond;
  HeardAt_ = HeardAt;
  return Changed;
}

bool StatedRateLimiter::recordAnswer(const steering::StatedRate &Stated,
                                     bool EndsRate, base::TimePoint SentAt,
                                     base::TimePoint Now) {
  const bool IsStated = Stated.PerSecond_.has_value();
  // The answer to a request from before the last statement may be older.
  const bool Ends =
      EndsRate && !Stated.Unreadable_ && PerSecond_ && SentAt > HeardAt_;
  if (!IsStated && !Ends)
    return false;
  const bool Changed = setRate(Stated.PerSecond_, Now, Now);
  if (Changed || Now - LastAnnounced_ >= RefreshInterval) {
    Announcement_.begin(Now);
    LastAnnounced_ = Now;
  }
  return Changed;
}

bool StatedRateLimiter::merge(const members::TargetRate &Known, bool Relays,
                              base::TimePoint Now) {
  const base::TimePoint HeardAt = Now - Known.Age_;
  LastAnnounced_ = Now;
  if (HeardAt <= HeardAt_)
    return false;
  const bool Changed = setRate(Known.PerSecond_, HeardAt, Now);
  if (Relays)
    Announcement_.relay(Now);
  return Changed;
}

members::TargetRate StatedRateLimiter::report(std::uint64_t Target,
                                              base::TimePoint Now) const {
  return {Target, PerSecond_, Now - HeardAt_};
}

std::optional<base::Duration>
StatedRateLimiter::take(base::TimePoint Now) noexcept {
  if (!PerSecond_)
    return std::nullopt;
  return Tokens_.take(refill(*PerSecond_, Now));
}

double StatedRateLimiter::refill(double Stated, base::TimePoint Now) noexcept {
  const double PerSecond = std::max(Stated * OwnerShare, MinPerSecond);
  Tokens_.refill(PerSecond, MaxTokens, Now);
  return PerSecond;
}

} // namespace lychee::dispatch
