#include "gateway/BodyMemory.h"

namespace lychee::gateway {

bool BodyMemory::tryTake(std::size_t Bytes) noexcept {
  if (Taken_.fetch_add(Bytes) + Bytes <= Limit_)
    return true;
  Taken_.fetch_sub(Bytes);
  return false;
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
