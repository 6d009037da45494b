#include "budget/TokenBucket.h"

#include "base/WideInteger.h"

#include <algorithm>

namespace lychee::budget {

namespace {

/// Units of one token: millionths of a request per second times nanoseconds.
constexpr std::int64_t UnitsPerToken = 1'000'000;

/// Upper bound of the time that one fill accounts for. Longer than any burst
/// takes to fill at a rate that operators may set (one request per hour), and
/// short enough for the product to fit into 128 bits.
constexpr base::Duration MaxFillTime = std::chrono::hours(24);

} // namespace

void TokenBucket::fill(base::TimePoint Now) noexcept {
  if (Now <= Last_)
    return;
  const base::Duration Span =
      std::min<base::Duration>(Now - Last_, MaxFillTime);
  Last_ = Now;
  const base::Int128 Units =
      static_cast<base::Int128>(MicroRate_) * Span.count() + Remainder_;
  const base::Int128 Gained = Units / UnitsPerToken;
  Remainder_ = static_cast<std::int64_t>(Units % UnitsPerToken);
  const base::Int128 Level = std::min<base::Int128>(Level_ + Gained, Burst_);
  Level_ = static_cast<std::int64_t>(Level);
}

void TokenBucket::setLimits(std::int64_t MicroRequestsPerSecond,
                            std::int64_t Burst, base::TimePoint Now) noexcept {
  fill(Now);
  MicroRate_ = MicroRequestsPerSecond;
  Burst_ = Burst;
  Level_ = std::min(Level_, Burst_);
}

bool TokenBucket::take(std::int64_t Cost, base::TimePoint Now) noexcept {
  fill(Now);
  if (Level_ < Cost)
    return false;
  Level_ -= Cost;
  return true;
}

std::int64_t TokenBucket::takeUpTo(std::int64_t Wanted,
                                   base::TimePoint Now) noexcept {
  fill(Now);
  const std::int64_t Taken = std::clamp<std::int64_t>(Wanted, 0, Level_);
  Level_ -= Taken;
  return Taken;
}

void TokenBucket::add(std::int64_t Tokens, base::TimePoint Now) noexcept {
  fill(Now);
  Level_ = std::min(Level_ + Tokens, Burst_);
}

std::int64_t TokenBucket::level(base::TimePoint Now) noexcept {
  fill(Now);
  return Level_;
}

base::Duration TokenBucket::timeUntil(std::int64_t Cost,
                                      base::TimePoint Now) noexcept {
  fill(Now);
  if (Level_ >= Cost)
    return base::Duration::zero();
  if (Cost > Burst_ || MicroRate_ <= 0)
    return base::Duration::max();
  const base::Int128 Units =
      static_cast<base::Int128>(Cost - Level_) * UnitsPerToken - Remainder_;
  const base::Int128 Span = (Units + MicroRate_ - 1) / MicroRate_;
  return base::Duration(static_cast<std::int64_t>(Span));
}

} // namespace lychee::budget
