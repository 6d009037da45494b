#include "admission/UsualDeadline.h"

#include <algorithm>

namespace lychee::admission {

void UsualDeadline::record(base::Duration Left) noexcept {
  constexpr std::int32_t EqualWeight = 2;
  if (Votes_ <= 0)
    Usual_ = Left;
  if (std::chrono::abs(Left - Usual_) <= Tolerance)
    Votes_ = std::min(Votes_ + EqualWeight, MaxVotes);
  else
    --Votes_;
}

bool UsualDeadline::isRetry(base::Duration Left) const noexcept {
  return Votes_ >= MinVotes && Left <= Usual_ - MinElapsed &&
         base::toSeconds(Left) >= base::toSeconds(Usual_) * MinShareLeft;
}

} // namespace lychee::admission
