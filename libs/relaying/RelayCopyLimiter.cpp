#include "relaying/RelayCopyLimiter.h"

namespace lychee::relaying {

bool RelayCopyLimiter::tryAcquire(std::size_t Bytes, bool Refused,
                                  base::TimePoint Now) noexcept {
  if (Bytes <= SmallBytes)
    return true;
  if (!Refused || Now < FreeAt_)
    return false;
  FreeAt_ =
      Now + base::fromSeconds(static_cast<double>(Bytes) / LargeBytesPerSecond);
  return true;
}

} // namespace lychee::relaying
