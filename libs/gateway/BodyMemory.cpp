#include "gateway/BodyMemory.h"

#include <algorithm>

namespace lychee::gateway {

bool BodyMemory::tryTake(std::size_t Bytes) noexcept {
  if (Taken_.fetch_add(Bytes) + Bytes <= Limit_)
    return true;
  Taken_.fetch_sub(Bytes);
  return false;
}

bool BodyMemory::mayGoOn(std::size_t Received,
                         base::Duration Elapsed) const noexcept {
  return !isScarce() || Elapsed < ScarcePatience ||
         static_cast<double>(Received) >=
             base::toSeconds(Elapsed) * ScarceBytesPerSecond;
}

base::TimePoint BodyMemory::waitLimit(base::TimePoint Since,
                                      base::Duration Usual,
                                      base::TimePoint Now) const noexcept {
  const base::TimePoint Scarce = Since + ScarcePatience;
  if (Scarce <= Now && isScarce())
    return Scarce;
  return std::min(Since + Usual, std::max(Scarce, Now + ScarcePatience));
}

bool BodyShare::tryResize(std::size_t Bytes) noexcept {
  if (Bytes > Bytes_ && !From_.tryTake(Bytes - Bytes_))
    return false;
  if (Bytes < Bytes_)
    From_.giveBack(Bytes_ - Bytes);
  Bytes_ = Bytes;
  return true;
}

} // namespace lychee::gateway
