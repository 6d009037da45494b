#include "transport/DescriptorShares.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace lychee::transport {

DescriptorShares divideDescriptors(std::uint64_t Limit) noexcept {
  const std::uint64_t Known =
      std::min<std::uint64_t>(Limit, std::numeric_limits<std::uint32_t>::max());
  return {static_cast<std::uint32_t>(Known / 2),
          std::max<std::size_t>(1, Known / 16)};
}

std::uint64_t descriptorLimit() noexcept {
  rlimit Read{};
  if (getrlimit(RLIMIT_NOFILE, &Read) != 0)
    return std::numeric_limits<std::uint64_t>::max();
  return Read.rlim_cur;
}

} // namespace lychee::transport
