#include "relaying/RelayCopyLimiter.h"

namespace lychee::relaying {

bool RelayCopyLimiter::tryAcquire(std::size_t Bytes, bool StoreUnavailable,
                                  base::TimePoint Now) noexcept {
  if (Bytes <= SmallBytes)
    return true;
  if (!StoreUnavailable || Now < NextLargeCopy_)
    return false;
  NextLargeCopy_ =
      Now + base::fromSeconds(static_cast<double>(Bytes) / LargeBytesPerSecond);
  return true;
}

} // namespace lychee::relaying
