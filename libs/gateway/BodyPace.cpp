#include "gateway/BodyPace.h"

#include <algorithm>

namespace lychee::gateway {

bool BodyPace::mayGoOn(std::size_t Received,
                       base::Duration Elapsed) const noexcept {
  return !IsScarce_ || Elapsed < ScarcePatience ||
         static_cast<double>(Received) >=
             base::toSeconds(Elapsed) * ScarceBytesPerSecond;
}

base::TimePoint BodyPace::waitLimit(base::TimePoint Since, base::Duration Usual,
                                    base::TimePoint Now) const noexcept {
  const base::TimePoint Scarce = Since + ScarcePatience;
  if (Scarce <= Now && IsScarce_)
    return Scarce;
  return std::min(Since + Usual, std::max(Scarce, Now + ScarcePatience));
}

} // namespace lychee::gateway
