#ifndef LYCHEE_SCENARIO_RATEMETER_H
#define LYCHEE_SCENARIO_RATEMETER_H

#include "base/Time.h"

#include <algorithm>

namespace lychee::scenario {

/// A customer's rate and burst as one perfect observer of the whole fleet
/// counts them. For any two moments: what takes a token is at most the rate
/// times the time between, plus the burst.
class RateMeter {
public:
  RateMeter(double RatePerSecond, double Burst, base::TimePoint Now) noexcept
      : Rate_(RatePerSecond), Burst_(Burst), Tokens_(Burst), FilledAt_(Now) {}

  /// Takes a token where there is one.
  bool take(base::TimePoint Now) noexcept {
    fill(Now);
    // Parts of a token are lost in the rounding of times; a thousandth of a
    // request is far below what any promise speaks of.
    if (Tokens_ < 0.999)
      return false;
    Tokens_ -= 1;
    return true;
  }

private:
  void fill(base::TimePoint Now) noexcept {
    Tokens_ =
        std::min(Burst_, Tokens_ + Rate_ * base::toSeconds(Now - FilledAt_));
    FilledAt_ = Now;
  }

  double Rate_;
  double Burst_;
  double Tokens_;
  base::TimePoint FilledAt_;
};

} // namespace lychee::scenario

#endif
